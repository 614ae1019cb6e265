package org.carobdoor.bench.faults;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ProtocolException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A caller's connection to a gateway, which carries one request at a time. */
final class CallerConnection implements AutoCloseable {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([1-5]\\d\\d)( .*)?");
    private static final int MAX_LINE_BYTES = 16 << 10;

    private final Socket socket;
    private final InputStream in;
    private final StringBuilder chunks = new StringBuilder();
    private boolean closing;

    private CallerConnection(Socket socket) throws IOException {
        this.socket = socket;
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    /** Connects to a loopback port; the timeout also applies to each read. */
    static CallerConnection open(int port, int timeoutMillis) throws IOException {
        Socket s = new Socket();
        try {
            s.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
            s.setSoTimeout(timeoutMillis);
            s.setTcpNoDelay(true);
            return new CallerConnection(s);
        } catch (IOException e) {
            s.close();
            throw e;
        }
    }

    /** Returns whether another request may be sent. */
    boolean isOpen() {
        return !closing && !socket.isClosed();
    }

    /** Returns whether bytes have arrived that nobody has read. */
    boolean hasUnreadBytes() throws IOException {
        return in.available() > 0;
    }

    /** Returns the bytes that have arrived and that nobody has read. */
    String describeUnread() throws IOException {
        return new String(in.readNBytes(in.available()), StandardCharsets.ISO_8859_1)
                .lines()
                .collect(Collectors.joining(" | "));
    }

    void send(String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /**
     * Reads a response.
     *
     * @throws ProtocolException if the bytes are not a response
     * @throws IOException if the connection ends before the response does
     */
    CallerAnswer read() throws IOException {
        String statusLine = readLine();
        Matcher m = STATUS_LINE.matcher(statusLine);
        if (!m.matches()) {
            throw new ProtocolException("not a status line: " + statusLine);
        }
        int status = Integer.parseInt(m.group(1));
        StringBuilder headers = new StringBuilder();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            headers.append(line).append('\n');
        }
        String head = headers.toString();
        closing |= header(head, "connection").equals("close");
        return new CallerAnswer(
                status, header(head, "x-attempt-id"), header(head, "x-server-stamp"), body(head));
    }

    private String body(String head) throws IOException {
        String length = header(head, "content-length");
        if (header(head, "transfer-encoding").equals("chunked")) {
            chunks.setLength(0);
            for (int size = chunkSize(); size > 0; size = chunkSize()) {
                chunks.append(readExactly(size));
                in.skipNBytes(2);
            }
            in.skipNBytes(2);
            return chunks.toString();
        } else if (!length.isEmpty()) {
            return readExactly(Integer.parseInt(length));
        }
        closing = true;
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Returns the chunks that were received of the last response, which may have been cut off. */
    String receivedChunks() {
        return chunks.toString();
    }

    private String readExactly(int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("connection closed in a body");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private int chunkSize() throws IOException {
        String line = readLine();
        try {
            return Integer.parseInt(line.trim(), 16);
        } catch (NumberFormatException e) {
            throw new ProtocolException("not a chunk size: " + line);
        }
    }

    private static String header(String head, String name) {
        return head.lines()
                .filter(l -> l.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(l -> l.substring(name.length() + 1).trim())
                .findFirst()
                .orElse("");
    }

    private String readLine() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("connection closed");
            }
            if (text.length() == MAX_LINE_BYTES) {
                throw new ProtocolException("line too long: " + text.substring(0, 80));
            }
            text.append((char) b);
        }
        if (!text.isEmpty() && text.charAt(text.length() - 1) == '\r') {
            text.setLength(text.length() - 1);
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
