package org.carobdoor.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/** A TCP proxy that can stop forwarding on its open connections or modify the data. */
final class FaultInjectingProxy implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final InetSocketAddress target;
    private final List<ProxiedConnection> connections = new CopyOnWriteArrayList<>();
    private final AtomicInteger acceptedConnections = new AtomicInteger();
    private volatile UnaryOperator<byte[]> fault = UnaryOperator.identity();

    FaultInjectingProxy(InetSocketAddress target) throws IOException {
        this.target = target;
        Thread.startVirtualThread(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    int acceptedConnections() {
        return acceptedConnections.get();
    }

    /** Stops forwarding on the currently open connections without closing them. */
    void stopForwarding() {
        connections.forEach(p -> p.stopped = true);
    }

    /** Applies {@code newFault} to all further data from the client to the server. */
    void tamper(UnaryOperator<byte[]> newFault) {
        fault = newFault;
    }

    private void accept() {
        try {
            while (true) {
                Socket in = server.accept();
                acceptedConnections.incrementAndGet();
                Socket out = new Socket(target.getAddress(), target.getPort());
                ProxiedConnection p = new ProxiedConnection(in, out);
                connections.add(p);
                Thread.startVirtualThread(() -> p.copy(in, out, true));
                Thread.startVirtualThread(() -> p.copy(out, in, false));
            }
        } catch (IOException e) {
            close();
        }
    }

    @Override
    public void close() {
        try {
            server.close();
            for (ProxiedConnection p : connections) {
                p.client.close();
                p.upstream.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private final class ProxiedConnection {
        final Socket client;
        final Socket upstream;
        volatile boolean stopped;

        ProxiedConnection(Socket client, Socket upstream) {
            this.client = client;
            this.upstream = upstream;
        }

        void copy(Socket from, Socket to, boolean toServer) {
            byte[] buffer = new byte[65536];
            try (InputStream in = from.getInputStream();
                    OutputStream out = to.getOutputStream()) {
                for (int n = in.read(buffer); n > 0; n = in.read(buffer)) {
                    byte[] data = java.util.Arrays.copyOf(buffer, n);
                    if (!stopped) {
                        out.write(toServer ? fault.apply(data) : data);
                    }
                }
            } catch (IOException e) {
                stopped = true;
            }
        }
    }
}
