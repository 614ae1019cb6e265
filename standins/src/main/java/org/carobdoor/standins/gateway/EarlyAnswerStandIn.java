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
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * An endpoint for tests that answers after the head of a request, and resets the connection while
 * the body is still being written.
 */
public final class EarlyAnswerStandIn implements AutoCloseable {
    /** Replaced by the id of the request in the text of the answer. */
    public static final String REQUEST_ID = "{id}";

    /** Small, so that the upload is still under way when the connection is reset. */
    private static final int RECEIVE_BUFFER_BYTES = 8_192;

    /** Longer than the transit on the loopback interface, so that the answer arrives first. */
    private static final long TRANSIT_MILLIS = 150;

    private static final String ID_HEADER = "x-attempt-id:";

    private final ServerSocket server;
    private final String answer;

    private EarlyAnswerStandIn(ServerSocket server, String answer) {
        this.server = server;
        this.answer = answer;
    }

    /**
     * Starts an endpoint on a free loopback port.
     *
     * @param answer the bytes that it sends for each request
     */
    public static EarlyAnswerStandIn start(String answer) {
        try {
            ServerSocket s = new ServerSocket();
            s.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            s.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            EarlyAnswerStandIn endpoint = new EarlyAnswerStandIn(s, answer);
            Thread.startVirtualThread(endpoint::accept);
            return endpoint;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the address that this endpoint listens at. */
    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread.startVirtualThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String id = readRequestId(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            out.write(answer.replace(REQUEST_ID, id).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            TimeUnit.MILLISECONDS.sleep(TRANSIT_MILLIS);
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The caller has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readRequestId(InputStream in) throws IOException {
        String id = "";
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            if (line.toLowerCase(Locale.ROOT).startsWith(ID_HEADER)) {
                id = line.substring(ID_HEADER.length()).trim();
            }
        }
        return id;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
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
