package org.carobdoor.standins.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Forwards TCP connections. On request, those that are open stay open and carry nothing more, as
 * after a network device has lost its state; new ones work.
 */
public final class SilencingProxy implements AutoCloseable {
    private static final int BACKLOG = 200;
    private static final int BUFFER_BYTES = 16 << 10;

    /** A forwarded connection. */
    private static final class Connection {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;

        private Connection(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        private void close() {
            closeQuietly(near);
            closeQuietly(far);
        }
    }

    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress target;
    private final ServerSocket listener;

    private SilencingProxy(InetSocketAddress target, ServerSocket listener) {
        this.target = target;
        this.listener = listener;
    }

    /** Starts a proxy of {@code target} on a free loopback port. */
    public static SilencingProxy start(InetSocketAddress target) {
        try {
            SilencingProxy proxy =
                    new SilencingProxy(
                            target, new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()));
            Thread.startVirtualThread(proxy::accept);
            return proxy;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the address that forwards to the target. */
    public InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    /** Silences the open connections for good. */
    public void silence() {
        connections.forEach(c -> c.silent = true);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket(target.getAddress(), target.getPort());
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Connection c = new Connection(near, far);
                connections.add(c);
                Thread.startVirtualThread(() -> copy(c, near, far));
                Thread.startVirtualThread(() -> copy(c, far, near));
            } catch (IOException e) {
                // The listener is closed, or the target refuses: then the caller is not answered.
                if (listener.isClosed()) {
                    return;
                }
            }
        }
    }

    private void copy(Connection c, Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (!c.silent) {
                    out.write(buffer, 0, n);
                    out.flush();
                }
            }
        } catch (IOException e) {
            // The other side is closed below, unless the connection is silent.
        }
        if (!c.silent) {
            c.close();
            connections.remove(c);
        }
    }

    private static void closeQuietly(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // Nothing more can be done about the connection.
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        connections.forEach(Connection::close);
    }
}
