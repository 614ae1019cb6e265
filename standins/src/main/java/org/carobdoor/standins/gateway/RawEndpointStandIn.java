package org.carobdoor.standins.gateway;

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
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * An endpoint for tests that writes responses byte by byte as a test says, and can crash: it then
 * closes all connections, refuses new ones, and listens at the same port again later.
 *
 * <pre>{@code
 * RawEndpointStandIn.start((request, connection) -> connection.write("HTTP/1.1 200 OK\r\n..."));
 * }</pre>
 */
public final class RawEndpointStandIn implements AutoCloseable {

    /** Responds to a request. */
    public interface Responder {
        /** Writes the response to {@code connection}, and may close it. */
        void respond(Request request, Connection connection) throws IOException;
    }

    /**
     * A request.
     *
     * @param head the request line and the headers
     * @param number the number of the request on its connection, from 1
     */
    public record Request(String head, int number) {
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

    /** A connection of a node. */
    public static final class Connection {
        private final Socket socket;

        private Connection(Socket socket) {
            this.socket = socket;
        }

        /** Sends text immediately. */
        public void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Closes the connection in an orderly way. */
        public void close() throws IOException {
            socket.close();
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private static final int BACKLOG = 50;
    private static final String END_OF_HEAD = "\r\n\r\n";

    private final Responder responder;
    private final InetSocketAddress address;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<Request> requests = new CopyOnWriteArrayList<>();
    private volatile ServerSocket server;
    private volatile boolean closed;

    private RawEndpointStandIn(ServerSocket server, Responder responder) {
        this.server = server;
        this.address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        this.responder = responder;
    }

    /** Starts an endpoint on a free loopback port. */
    public static RawEndpointStandIn start(Responder responder) {
        try {
            RawEndpointStandIn endpoint =
                    new RawEndpointStandIn(
                            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()),
                            responder);
            Thread.startVirtualThread(endpoint::accept);
            return endpoint;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the address that this endpoint listens at. */
    public InetSocketAddress address() {
        return address;
    }

    /** Registers this endpoint in the store as ready. */
    public void register(StoreStandIn store, String id, String service) {
        store.putEndpoint(id, service, "ready", address);
    }

    /** Registers this endpoint in the store as ready, after a restart under the same id. */
    public void registerRestarted(StoreStandIn store, String id, String service) {
        store.putEndpoint(id, service, "ready", address, System.currentTimeMillis());
    }

    /** Returns the requests received, in the order of arrival. */
    public List<Request> requests() {
        return List.copyOf(requests);
    }

    /**
     * Ends this endpoint as a crash does; it listens again after {@code awayMillis}. Has no effect
     * while the endpoint is away.
     */
    public void crash(long awayMillis) throws IOException {
        synchronized (this) {
            if (server.isClosed()) {
                return;
            }
            server.close();
        }
        for (Socket s : sockets) {
            s.close();
        }
        Thread.startVirtualThread(() -> restart(awayMillis));
    }

    private void restart(long awayMillis) {
        try {
            TimeUnit.MILLISECONDS.sleep(awayMillis);
            if (!closed) {
                ServerSocket s = new ServerSocket();
                s.setReuseAddress(true);
                s.bind(address, BACKLOG);
                server = s;
                accept();
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen at " + address + " again", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        ServerSocket s = server;
        while (!s.isClosed()) {
            try {
                Socket socket = s.accept();
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
            Connection connection = new Connection(socket);
            for (int number = 1; !socket.isClosed(); number++) {
                Request request = new Request(readHead(in), number);
                String length = request.header("Content-Length");
                in.skipNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
                requests.add(request);
                responder.respond(request, connection);
            }
        } catch (IOException e) {
            // The node or a crash has closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD, Math.max(0, head.length() - END_OF_HEAD.length())) < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("connection closed before the end of the request head");
            }
            head.append((char) b);
        }
        return head.toString();
    }

    @Override
    public void close() {
        closed = true;
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
