package org.carobdoor.standins;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A caller for tests that keeps one connection and reads answers strictly by their framing.
 *
 * <pre>{@code
 * try (RawCaller caller = RawCaller.connect(address)) {
 *     caller.send(RawCaller.request("GET", "/a", "id-1"));
 *     RawCaller.Answer answer = caller.read("GET");
 * }
 * }</pre>
 */
public final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 8_000;
    private static final int HEX = 16;

    /**
     * An answer.
     *
     * @param head the status line and the headers
     * @param body the body, one character a byte
     */
    public record Answer(String head, String body) {
        /** Returns the status code. */
        public int status() {
            return Integer.parseInt(head.split(" ", 3)[1]);
        }

        /** Returns the value of a header; empty if it is missing. */
        public String header(String name) {
            String prefix = name.toLowerCase(Locale.ROOT) + ":";
            return head.lines()
                    .filter(l -> l.toLowerCase(Locale.ROOT).startsWith(prefix))
                    .map(l -> l.substring(prefix.length()).trim())
                    .findFirst()
                    .orElse("");
        }
    }

    private final Socket socket;
    private final InputStream in;

    private RawCaller(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /**
     * Connects to a node.
     *
     * @throws IOException if the node does not accept the connection
     */
    public static RawCaller connect(InetSocketAddress node) throws IOException {
        return new RawCaller(new Socket(node.getAddress(), node.getPort()));
    }

    /** Returns a request without a body that has {@code id} and the key of the test account. */
    public static String request(String method, String path, String id) {
        return request(method, path, id, "X-Deadline-Milliseconds: 2500\r\n");
    }

    /** Returns a request without a body; {@code headers} end with a line break. */
    public static String request(String method, String path, String id, String headers) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: "
                + id
                + "\r\n"
                + headers
                + "\r\n";
    }

    /**
     * Sends text immediately, one byte a character.
     *
     * @throws IOException if the connection is lost
     */
    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Reads the answer to a request with {@code method}; interim answers are skipped.
     *
     * @throws IOException if the bytes are no answer, or the connection ends before it does
     */
    public Answer read(String method) throws IOException {
        String head = readHead();
        while (head.startsWith("HTTP/1.1 1")) {
            head = readHead();
        }
        if (!head.matches("(?s)HTTP/1\\.1 [2-5]\\d\\d [^\r\n]*\r\n.*")) {
            throw new IOException("bytes that are no answer: " + head);
        }
        Answer a = new Answer(head, "");
        boolean empty = method.equals("HEAD") || a.status() == 204 || a.status() == 304;
        return empty ? a : new Answer(head, readBody(a));
    }

    /**
     * Returns whether nothing arrives and the connection stays open for {@code millis}.
     *
     * @throws IOException if the connection is reset
     */
    public boolean isSilent(int millis) throws IOException {
        socket.setSoTimeout(millis);
        try {
            return in.read() == Integer.MIN_VALUE;
        } catch (SocketTimeoutException e) {
            return true;
        } finally {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        }
    }

    /**
     * Returns whether the node closes the connection without sending anything else.
     *
     * @throws IOException if the connection is reset or stays open
     */
    public boolean isClosedByNode() throws IOException {
        return in.read() < 0;
    }

    private String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n", Math.max(0, head.length() - 4)) < 0) {
            head.append(readChar(head));
        }
        return head.toString();
    }

    private String readBody(Answer a) throws IOException {
        if (a.header("Transfer-Encoding").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunkSize(); size > 0; size = chunkSize()) {
                body.write(in.readNBytes(size));
                readLine();
            }
            readLine();
            return body.toString(StandardCharsets.ISO_8859_1);
        }
        String length = a.header("Content-Length");
        if (length.isEmpty()) {
            throw new IOException("answer of unknown length: " + a.head);
        }
        byte[] body = in.readNBytes(Integer.parseInt(length));
        if (body.length < Integer.parseInt(length)) {
            throw new IOException("answer cut off after " + body.length + " bytes: " + a.head);
        }
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    private int chunkSize() throws IOException {
        return Integer.parseInt(readLine().trim(), HEX);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.indexOf("\n") < 0) {
            line.append(readChar(line));
        }
        return line.toString();
    }

    private char readChar(CharSequence before) throws IOException {
        int b = in.read();
        if (b < 0) {
            throw new IOException("connection closed after \"" + before + '"');
        }
        return (char) b;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
