package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A connection of a client, which sends one request at a time and reads answers strictly. */
final class Client implements AutoCloseable {
    /** An answer; {@code body} is complete. */
    record Answer(int status, List<String> headers, byte[] body) {
        String header(String name) {
            return new Request("", "", headers, body).header(name);
        }
    }

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    private final Socket socket = new Socket();
    private final InputStream in;

    Client(int port) throws IOException {
        this(port, 0);
    }

    /** Connects; a receive buffer other than 0 makes the connection one of a slow link. */
    Client(int port, int receiveBufferBytes) throws IOException {
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        in = new BufferedInputStream(socket.getInputStream(), 4096);
    }

    static String newId() {
        return Long.toHexString(IDS.incrementAndGet());
    }

    /** Returns the head of a request without its last empty line. */
    static String head(String method, String host, String path, String id, String key) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Milliseconds: 15000\r\nAuthorization: Bearer " + key + "\r\n";
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    InputStream in() {
        return in;
    }

    Socket socket() {
        return socket;
    }

    /** Reads an answer; fails if the bytes are none. */
    Answer read(boolean toHead) throws IOException {
        String first = Wire.line(in);
        if (first == null) {
            throw new IOException("connection closed without an answer");
        }
        if (!first.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
            throw new BadAnswer(first);
        }
        int status = Integer.parseInt(first.substring(9, 12));
        List<String> headers = Wire.headers(in);
        Answer a = new Answer(status, headers, new byte[0]);
        if (toHead || status == 204 || status == 304) {
            return a;
        }
        if (a.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            return new Answer(status, headers, Wire.chunked(in));
        }
        String length = a.header("Content-Length");
        if (length.isEmpty()) {
            return new Answer(status, headers, in.readAllBytes());
        }
        return new Answer(status, headers, Wire.exactly(in, Integer.parseInt(length)));
    }

    /** The bytes where an answer is due are no answer in the protocol. */
    static final class BadAnswer extends IOException {
        private static final long serialVersionUID = 1;

        BadAnswer(String text) {
            super(text);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
