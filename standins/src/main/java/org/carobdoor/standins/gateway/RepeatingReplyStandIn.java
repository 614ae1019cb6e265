package org.carobdoor.standins.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An HTTP server for tests that sends two replies to its first request. Replies to the others come
 * later than the second one.
 *
 * <pre>{@code
 * try (RepeatingReplyStandIn server =
 *         RepeatingReplyStandIn.start(100, first, repeated, next)) { ... }
 * }</pre>
 */
public final class RepeatingReplyStandIn implements AutoCloseable {
    private static final long NEXT_REPLY_MILLIS = 100;
    private static final String END_OF_HEAD = "\r\n\r\n";

    private final ServerSocket server;
    private final long repeatMillis;
    private final String firstReply;
    private final String repeatedReply;
    private final String nextReply;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger requests = new AtomicInteger();

    private RepeatingReplyStandIn(
            long repeatMillis, String firstReply, String repeatedReply, String nextReply)
            throws IOException {
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.repeatMillis = repeatMillis;
        this.firstReply = firstReply;
        this.repeatedReply = repeatedReply;
        this.nextReply = nextReply;
    }

    /**
     * Starts a server on a free loopback port.
     *
     * @param repeatMillis the time between the two replies to the first request; with 0 they are
     *     written together
     */
    public static RepeatingReplyStandIn start(
            long repeatMillis, String firstReply, String repeatedReply, String nextReply) {
        try {
            RepeatingReplyStandIn s =
                    new RepeatingReplyStandIn(repeatMillis, firstReply, repeatedReply, nextReply);
            Thread.startVirtualThread(s::accept);
            return s;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a response with a JSON body, as it is written to a connection. */
    public static String reply(String status, String body) {
        return "HTTP/1.1 "
                + status
                + "\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length()
                + END_OF_HEAD
                + body;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Returns the number of requests received. */
    public int requests() {
        return requests.get();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread.startVirtualThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                readRequest(in);
                if (requests.incrementAndGet() > 1) {
                    TimeUnit.MILLISECONDS.sleep(repeatMillis + NEXT_REPLY_MILLIS);
                    write(socket, nextReply);
                } else if (repeatMillis == 0) {
                    write(socket, firstReply + repeatedReply);
                } else {
                    write(socket, firstReply);
                    Thread.startVirtualThread(() -> repeat(socket));
                }
            }
        } catch (IOException e) {
            // The client has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private void repeat(Socket socket) {
        try {
            TimeUnit.MILLISECONDS.sleep(repeatMillis);
            write(socket, repeatedReply);
        } catch (IOException e) {
            // The client has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD, Math.max(0, head.length() - END_OF_HEAD.length())) < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("connection closed before the end of the request head");
            }
            head.append((char) b);
        }
        String length =
                head.toString()
                        .lines()
                        .filter(l -> l.regionMatches(true, 0, "content-length:", 0, 15))
                        .findFirst()
                        .orElse(":0");
        in.skipNBytes(Long.parseLong(length.substring(length.indexOf(':') + 1).trim()));
    }

    @Override
    public void close() {
        try {
            server.close();
            for (Socket s : sockets) {
                s.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
