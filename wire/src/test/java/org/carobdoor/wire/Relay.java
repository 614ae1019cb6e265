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

/** A TCP relay that can fall silent on its open connections, or change bytes. */
final class Relay implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final InetSocketAddress target;
    private final List<Pair> pairs = new CopyOnWriteArrayList<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private volatile UnaryOperator<byte[]> fault = UnaryOperator.identity();

    Relay(InetSocketAddress target) throws IOException {
        this.target = target;
        Thread.startVirtualThread(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    int accepted() {
        return accepted.get();
    }

    /** Stops forwarding on the connections open now; they stay open. */
    void silence() {
        pairs.forEach(p -> p.silent = true);
    }

    /** Changes what goes from the client to the server from now on. */
    void tamper(UnaryOperator<byte[]> newFault) {
        fault = newFault;
    }

    private void accept() {
        try {
            while (true) {
                Socket in = server.accept();
                accepted.incrementAndGet();
                Socket out = new Socket(target.getAddress(), target.getPort());
                Pair p = new Pair(in, out);
                pairs.add(p);
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
            for (Pair p : pairs) {
                p.client.close();
                p.upstream.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private final class Pair {
        final Socket client;
        final Socket upstream;
        volatile boolean silent;

        Pair(Socket client, Socket upstream) {
            this.client = client;
            this.upstream = upstream;
        }

        void copy(Socket from, Socket to, boolean toServer) {
            byte[] buffer = new byte[65536];
            try (InputStream in = from.getInputStream();
                    OutputStream out = to.getOutputStream()) {
                for (int n = in.read(buffer); n > 0; n = in.read(buffer)) {
                    byte[] data = java.util.Arrays.copyOf(buffer, n);
                    if (!silent) {
                        out.write(toServer ? fault.apply(data) : data);
                    }
                }
            } catch (IOException e) {
                silent = true;
            }
        }
    }
}
