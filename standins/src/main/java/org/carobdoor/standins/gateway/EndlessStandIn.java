package org.carobdoor.standins.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** An endpoint in trouble: answers each request with bytes that do not end until it is left. */
public final class EndlessStandIn implements AutoCloseable {

    /** What it repeats, after a start that is sent once. */
    public enum Kind {
        /** A first line without an end. */
        FIRST_LINE("HTTP/1.1 200 ", "x"),
        /** Empty lines before a head. */
        EMPTY_LINES("", "\r\n"),
        /** Interim answers. */
        INTERIM("", "HTTP/1.1 102 Processing\r\n\r\n"),
        /** Headers of one answer. */
        HEADERS("HTTP/1.1 200 OK\r\n", "X-More: yes\r\n"),
        /** Another request's answer. */
        OTHER_ANSWER(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Stamp: s\r\n"
                        + "Content-Length: 1000000000000\r\n\r\n",
                "x"),
        /** A body with a large length. */
        LENGTH(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 1000000000000\r\n\r\n",
                "x"),
        /** A body without a length. */
        NO_LENGTH("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n", "x"),
        /** The body of a rejection. */
        REJECTION("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n\r\n", "x"),
        /** Chunks of a body. */
        CHUNKS(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
                "4\r\nabcd\r\n"),
        /** The size of one chunk. */
        CHUNK_SIZE(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4;",
                "x"),
        /** Trailers after the last chunk. */
        TRAILERS(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-More: yes\r\n"),
        /** One event of a stream. */
        EVENT(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n"
                        + "id: 1\ndata: ",
                "x");

        private final String start;
        private final String repeated;

        Kind(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }
    }

    private static final int WRITE_BYTES = 16 << 10;

    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong open = new AtomicLong();
    private final ServerSocket server;
    private final Kind kind;

    private EndlessStandIn(ServerSocket server, Kind kind) {
        this.server = server;
        this.kind = kind;
    }

    /** Starts an endpoint on a free port of the loopback interface. */
    public static EndlessStandIn start(Kind kind) {
        try {
            ServerSocket s = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            EndlessStandIn endpoint = new EndlessStandIn(s, kind);
            Thread.startVirtualThread(endpoint::accept);
            return endpoint;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes its entry into the store. */
    public void register(StoreStandIn store, String id, String service) {
        InetSocketAddress a = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        store.putEndpoint(id, service, "ready", a);
    }

    /** Returns how many bytes it could send so far. */
    public long sent() {
        return sent.get();
    }

    /** Returns on how many connections it is sending. */
    public long openAnswers() {
        return open.get();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket s = server.accept();
                Thread.startVirtualThread(() -> answer(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void answer(Socket socket) {
        try (socket) {
            awaitRequest(socket.getInputStream());
            open.incrementAndGet();
            try {
                write(socket.getOutputStream());
            } finally {
                open.decrementAndGet();
            }
        } catch (IOException e) {
            // The caller has closed the connection, which is how an answer ends here.
        }
    }

    private void write(OutputStream out) throws IOException {
        out.write(kind.start.getBytes(StandardCharsets.US_ASCII));
        byte[] more =
                kind.repeated
                        .repeat(Math.max(1, WRITE_BYTES / kind.repeated.length()))
                        .getBytes(StandardCharsets.US_ASCII);
        while (!server.isClosed()) {
            out.write(more);
            sent.addAndGet(more.length);
        }
    }

    private static void awaitRequest(InputStream in) throws IOException {
        int matched = 0;
        String end = "\r\n\r\n";
        while (matched < end.length()) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("closed before a request");
            }
            matched = b == end.charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
        }
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
