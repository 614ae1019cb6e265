package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * A server of a service: a sound one, which reads one request at a time on a connection, rejects
 * with 421 what names another instance, and records each request that it runs.
 */
final class TestServer implements AutoCloseable {
    /** Answers a request. */
    interface Responder {
        void respond(Request request, OutputStream out) throws IOException, InterruptedException;
    }

    private final ServerSocket socket;
    private final String id;
    private final Recorder recorder;
    private final Responder responder;

    TestServer(String id, Recorder recorder, Responder responder) {
        this.id = id;
        this.recorder = recorder;
        this.responder = responder;
        try {
            socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread.startVirtualThread(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }

    /** Returns a responder that answers with a body of the given length after some work. */
    static Responder plain(int bodyBytes, long workMillis) {
        return (request, out) -> {
            Thread.sleep(workMillis);
            byte[] body = new byte[request.method().equals("HEAD") ? 0 : bodyBytes];
            Arrays.fill(body, (byte) 'b');
            out.write(head(request, 200, "Content-Length: " + bodyBytes + "\r\n"));
            out.write(body);
            out.flush();
        };
    }

    /** Returns a head with the signature and the id of the request. */
    static byte[] head(Request request, int status, String more) {
        String text =
                "HTTP/1.1 "
                        + status
                        + (status == 200 ? " OK" : " No")
                        + "\r\nX-Attempt-Id: "
                        + request.id()
                        + "\r\nX-Server-Stamp: stamp."
                        + request.id()
                        + "\r\nKeep-Alive: timeout=10\r\n"
                        + more
                        + "\r\n";
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket s = socket.accept();
                Thread.startVirtualThread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            for (Request r = read(in); r != null; r = read(in)) {
                if (r.header("X-Expect-Instance").equals(id)) {
                    recorder.line("run      id=%s server=%s %s %s tenant=%s", r.id(), id,
                            r.method(), r.target(), r.header("X-Tenant"));
                    responder.respond(r, out);
                } else {
                    out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                                    + "X-Attempt-Id: " + r.id() + "\r\nX-Instance-Id: " + id
                                    + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                }
            }
        } catch (IOException e) {
            // The node has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Request read(InputStream in) throws IOException {
        String first = Wire.line(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ", -1);
        List<String> headers = Wire.headers(in);
        Request head = new Request(words[0], words[1], headers, new byte[0]);
        String length = head.header("Content-Length");
        byte[] body;
        if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            body = Wire.chunked(in);
        } else {
            body = Wire.exactly(in, length.isEmpty() ? 0 : Integer.parseInt(length));
        }
        return new Request(words[0], words[1], headers, body);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
