package org.carobdoor.clients.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import javax.net.SocketFactory;
import org.jspecify.annotations.Nullable;

/**
 * Creates sockets that limit the length of received lines.
 *
 * <p>OkHttp limits the heads of responses, but buffers the line of a chunk size up to its end,
 * which a faulty server may never send. The limit must exceed the largest body without a line feed
 * that a client accepts, since bodies are counted too.
 */
final class LineLimitedSocketFactory extends SocketFactory {
    private final long maxLineBytes;

    LineLimitedSocketFactory(long maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    @Override
    public Socket createSocket() {
        return new LineLimitedSocket(maxLineBytes);
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port), null);
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localHost, int localPort)
            throws IOException {
        return connect(
                new InetSocketAddress(host, port), new InetSocketAddress(localHost, localPort));
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port), null);
    }

    @Override
    public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort)
            throws IOException {
        return connect(
                new InetSocketAddress(host, port), new InetSocketAddress(localHost, localPort));
    }

    private Socket connect(InetSocketAddress address, @Nullable InetSocketAddress local)
            throws IOException {
        Socket socket = createSocket();
        if (local != null) {
            socket.bind(local);
        }
        socket.connect(address);
        return socket;
    }

    private static final class LineLimitedSocket extends Socket {
        private final long maxLineBytes;
        private @Nullable InputStream input;

        private LineLimitedSocket(long maxLineBytes) {
            this.maxLineBytes = maxLineBytes;
        }

        @Override
        public synchronized InputStream getInputStream() throws IOException {
            InputStream in = input;
            if (in == null) {
                in = new LineLimitedInputStream(super.getInputStream(), maxLineBytes);
                input = in;
            }
            return in;
        }
    }
}
