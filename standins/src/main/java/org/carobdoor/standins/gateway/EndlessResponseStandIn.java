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

/**
 * A faulty endpoint for tests. It responds to each request with bytes until the client closes the
 * connection, to check that a client limits what it reads.
 */
public final class EndlessResponseStandIn implements AutoCloseable {

    /** The part of the response that never ends, after a prefix that is sent once. */
    public enum Kind {
        /** A status line without an end. */
        FIRST_LINE("HTTP/1.1 200 ", "x"),
        /** Empty lines before the status line. */
        EMPTY_LINES("", "\r\n"),
        /** Interim (1xx) responses. */
        INTERIM("", "HTTP/1.1 102 Processing\r\n\r\n"),
        /** Header fields. */
        HEADERS("HTTP/1.1 200 OK\r\n", "X-More: yes\r\n"),
        /** A response that carries the attempt ID of another request. */
        OTHER_ANSWER(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Stamp: s\r\n"
                        + "Content-Length: 1000000000000\r\n\r\n",
                "x"),
        /** A body with a content length of 1 TB. */
        LENGTH(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 1000000000000\r\n\r\n",
                "x"),
        /** A body without a content length, which ends when the connection closes. */
        NO_LENGTH("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n", "x"),
        /** The body of a 503 response to a request that was not executed. */
        REJECTION("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n\r\n", "x"),
        /** Chunks of a chunked body. */
        CHUNKS(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
                "4\r\nabcd\r\n"),
        /** The extension of one chunk, on the line of its size. */
        CHUNK_SIZE(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4;",
                "x"),
        /** Trailer fields after the last chunk. */
        TRAILERS(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-More: yes\r\n"),
        /** The data of one server-sent event. */
        EVENT(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n"
                        + "id: 1\ndata: ",
                "x");

        private final String prefix;
        private final String repeatedPart;

        Kind(String prefix, String repeatedPart) {
            this.prefix = prefix;
            this.repeatedPart = repeatedPart;
        }
    }

    private static final int WRITE_CHUNK_BYTES = 16 << 10;

    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong activeResponses = new AtomicLong();
    private final ServerSocket server;
    private final Kind kind;

    private EndlessResponseStandIn(ServerSocket server, Kind kind) {
        this.server = server;
        this.kind = kind;
    }

    /** Starts an endpoint on a free loopback port. */
    public static EndlessResponseStandIn start(Kind kind) {
        try {
            ServerSocket serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            EndlessResponseStandIn endpoint = new EndlessResponseStandIn(serverSocket, kind);
            Thread.startVirtualThread(endpoint::accept);
            return endpoint;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the address that this endpoint listens on. */
    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Registers this endpoint in the store as ready. */
    public void register(StoreStandIn store, String id, String service) {
        store.putEndpoint(id, service, "ready", address());
    }

    /** Returns the number of bytes of the repeated part sent so far, on all connections. */
    public long sentBytes() {
        return sentBytes.get();
    }

    /** Returns the number of connections on which a response is being sent. */
    public long openAnswers() {
        return activeResponses.get();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread.startVirtualThread(() -> respond(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void respond(Socket socket) {
        try (socket) {
            awaitRequest(socket.getInputStream());
            activeResponses.incrementAndGet();
            try {
                writeEndlessly(socket.getOutputStream());
            } finally {
                activeResponses.decrementAndGet();
            }
        } catch (IOException e) {
            // The client has closed the connection, which is the only way to end a response.
        }
    }

    private void writeEndlessly(OutputStream out) throws IOException {
        out.write(kind.prefix.getBytes(StandardCharsets.US_ASCII));
        byte[] chunk =
                kind.repeatedPart
                        .repeat(Math.max(1, WRITE_CHUNK_BYTES / kind.repeatedPart.length()))
                        .getBytes(StandardCharsets.US_ASCII);
        while (!server.isClosed()) {
            out.write(chunk);
            sentBytes.addAndGet(chunk.length);
        }
    }

    private static void awaitRequest(InputStream in) throws IOException {
        int matched = 0;
        String terminator = "\r\n\r\n";
        while (matched < terminator.length()) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("connection closed before the end of the request head");
            }
            matched = b == terminator.charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
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
