package org.carobdoor.node.gateway.front;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import org.carobdoor.internal.deployment.CallerLimits;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.standins.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against reading a request from the bytes of another request's body. */
final class RequestFramingTest {
    private static final int GENERATED_CONNECTIONS =
            Integer.getInteger("framing.connections", 1_500);
    private static final long SEED = Long.getLong("framing.seed", 20_261_205L);
    private static final String HEAD = "POST /a HTTP/1.1\r\nHost: h\r\n";
    private static final String INNER = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";

    private final List<ReferenceRequestReader.Request> received = new CopyOnWriteArrayList<>();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final InetSocketAddress address =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.next());
    private CallerServer server;

    @BeforeEach
    void start() {
        server =
                CallerServer.open(
                        group,
                        address,
                        new RecordingHandler(),
                        PollClock.create(),
                        DecisionLog.create());
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked, gzip",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding:",
                "Transfer-Encoding: \u000bchunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 32",
                "Transfer-Encoding: gzip\r\nContent-Length: 32",
                "Content-Length: 32\r\nContent-Length: 0",
                "Content-Length: 0, 32",
                "Content-Length: +0",
                "Content-Length: 3 2",
                "Content-Length: -1"
            })
    void ambiguousBodyIsRefusedAndTheConnectionClosed(String framing) throws IOException {
        String answer = send(HEAD + framing + "\r\n\r\n0\r\n\r\n" + INNER);
        assertThat(answer).startsWith("HTTP/1.1 400 ");
        assertThat(received).isEmpty();
    }

    @Test
    void chunksOfAnOldProtocolVersionAreRefused() throws IOException {
        String answer =
                send(
                        "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + "0\r\n\r\n"
                                + INNER);
        assertThat(answer).startsWith("HTTP/1.1 400 ");
        assertThat(received).isEmpty();
    }

    @Test
    void soundBodiesAreReadWhole() throws IOException {
        send(
                HEAD
                        + "Transfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n"
                        + HEAD
                        + "Content-Length: 2\r\n\r\nde"
                        + INNER);
        assertThat(received)
                .containsExactly(
                        new ReferenceRequestReader.Request("POST", "/a", "abc"),
                        new ReferenceRequestReader.Request("POST", "/a", "de"),
                        new ReferenceRequestReader.Request("GET", "/inner", ""))
                .inOrder();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /\u00ff HTTP/1.1",
                "GET /a\u0000b HTTP/1.1",
                "G\u00cbT /a HTTP/1.1",
                "GET /a HTTP/1.2",
                "GET /a HTTP/2.0",
                "GET /a"
            })
    void requestLineThatCannotBeForwardedUnchangedIsRefused(String line) throws IOException {
        assertThat(send(line + "\r\nHost: h\r\n\r\n")).startsWith("HTTP/1.1 400 ");
        assertThat(received).isEmpty();
    }

    /**
     * Whatever a node reads from a connection, a reader that follows the grammar strictly reads the
     * same; a node may refuse more, but not of requests that are sound.
     */
    @Test
    void generatedConnectionsAreReadAsByAStrictReader() throws IOException {
        SplittableRandom random = new SplittableRandom(SEED);
        for (int i = 0; i < GENERATED_CONNECTIONS; i++) {
            received.clear();
            RequestGenerator generator = new RequestGenerator(random.split());
            boolean mutated = i % 4 != 0;
            String text = generator.connection(mutated);
            send(text);
            List<ReferenceRequestReader.Request> expected =
                    ReferenceRequestReader.read(text.getBytes(StandardCharsets.ISO_8859_1));
            List<ReferenceRequestReader.Request> read = new ArrayList<>(received);
            String name = "connection " + i + " of seed " + SEED + ": " + printable(text);
            if (mutated) {
                assertWithMessage(name)
                        .that(read)
                        .isEqualTo(expected.subList(0, Math.min(read.size(), expected.size())));
            } else {
                assertWithMessage(name).that(read).isEqualTo(expected);
            }
        }
    }

    private static String printable(String text) {
        StringBuilder printable = new StringBuilder();
        for (char c : text.toCharArray()) {
            printable.append(c >= ' ' && c < 0x7f ? c : String.format("\\x%02x", (int) c));
        }
        return printable.toString();
    }

    /** Sends {@code text}, and returns what the node answers until it closes the connection. */
    private String send(String text) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            return new String(readAll(socket.getInputStream()), StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads up to the end; a node that closes a connection with unread bytes resets it. */
    private static byte[] readAll(InputStream in) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try {
            for (int b = in.read(); b >= 0; b = in.read()) {
                all.write(b);
            }
        } catch (SocketTimeoutException e) {
            throw new UncheckedIOException(e);
        } catch (IOException e) {
            return all.toByteArray();
        }
        return all.toByteArray();
    }

    /** Records the requests and answers each of them at once. */
    private final class RecordingHandler implements RequestHandler {
        @Override
        public void handle(Exchange exchange) {
            received.add(
                    new ReferenceRequestReader.Request(
                            exchange.head().method().name(),
                            exchange.head().uri(),
                            exchange.body().toString(StandardCharsets.ISO_8859_1)));
            exchange.sendError(ErrorResponse.rejected(404, "test"));
        }

        @Override
        public CallerLimits limits() {
            return CallerLimits.defaults();
        }

        @Override
        public boolean isStopping() {
            return false;
        }
    }
}
