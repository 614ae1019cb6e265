package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Forwards connections. When told so, the open ones go silent for good: they stay open, and what
 * either side sends on them is dropped; new ones work.
 */
final class Proxy implements AutoCloseable {
    private final ServerSocket socket;
    private final InetSocketAddress target;
    private volatile long silentBefore;
    private volatile long opened;

    Proxy(InetSocketAddress target) {
        this.target = target;
        try {
            socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread.startVirtualThread(this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Makes all connections that are open now silent. */
    synchronized void silence() {
        silentBefore = opened;
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket near = socket.accept();
                Socket far = new Socket(target.getAddress(), target.getPort());
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                long number;
                synchronized (this) {
                    number = ++opened;
                }
                Thread.startVirtualThread(() -> copy(near, far, number));
                Thread.startVirtualThread(() -> copy(far, near, number));
            } catch (IOException e) {
                if (socket.isClosed()) {
                    return;
                }
            }
        }
    }

    private void copy(Socket from, Socket to, long number) {
        byte[] buffer = new byte[16 << 10];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (number > silentBefore) {
                    out.write(buffer, 0, n);
                    out.flush();
                }
            }
        } catch (IOException e) {
            // The connection was closed; so is the other half, unless it is silent.
        }
        if (number > silentBefore) {
            closeQuietly(from);
            closeQuietly(to);
        }
    }

    private static void closeQuietly(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // Closed in any case.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
