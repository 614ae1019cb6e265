package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against passing on part of an answer as a whole one when the endpoint answers before it
 * has read a long request, and against passing on answers with an invalid status.
 */
final class EarlyAnswerTest {
    private static final int BODY_BYTES = 4_000_000;

    /** Longer than the transit on the loopback interface, so that the part arrives first. */
    private static final long PART_TRANSIT_MILLIS = 150;

    /** Statuses with which a node reports to a caller that it has no answer. */
    private static final List<Integer> FAILURES = List.of(502, 504);

    private StoreStandIn store;
    private CloudStandIn cloud;

    /** Answers after the head of a request, and then resets the connection. */
    private static final class ResettingEndpoint implements AutoCloseable {
        private final ServerSocket server;
        private final String answer;

        ResettingEndpoint(String answer) throws IOException {
            this.answer = answer;
            server = new ServerSocket();
            // The upload must still be under way when the connection is reset.
            server.setReceiveBufferSize(8_192);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Thread.startVirtualThread(this::serve);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        }

        private void serve() {
            while (!server.isClosed()) {
                try (Socket s = server.accept()) {
                    answer(s);
                    s.setSoLinger(true, 0);
                } catch (IOException e) {
                    // The test has ended.
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private void answer(Socket s) throws IOException, InterruptedException {
            String id = "";
            String line = readLine(s.getInputStream());
            while (!line.isEmpty()) {
                if (line.toLowerCase(Locale.ROOT).startsWith("x-attempt-id:")) {
                    id = line.substring(line.indexOf(':') + 1).trim();
                }
                line = readLine(s.getInputStream());
            }
            OutputStream out = s.getOutputStream();
            out.write(answer.replace("{id}", id).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            TimeUnit.MILLISECONDS.sleep(PART_TRANSIT_MILLIS);
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
        public void close() throws IOException {
            server.close();
        }
    }

    @BeforeEach
    void start() {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put(
                "op/config",
                TestGateway.configuration(1, "")
                        .replace("\"bodyBytes\":100000", "\"bodyBytes\":4194304"));
    }

    @AfterEach
    void stop() {
        cloud.close();
        store.close();
    }

    private HttpResponse<String> upload(
            TestGateway node, String path, HttpRequest.BodyPublisher body) {
        return node.send(node.request(path).POST(body).build());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void partOfAnAnswerBeforeAResetIsNoAnswer(boolean chunkedUpload) throws Exception {
        String part =
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n\r\npart of it";
        byte[] body = new byte[BODY_BYTES];
        try (ResettingEndpoint endpoint = new ResettingEndpoint(part)) {
            store.putEndpoint("i-1", "desk", "ready", endpoint.address());
            try (TestGateway node = TestGateway.start("n1", store, cloud)) {
                TestGateway.await(node::isReady);
                HttpResponse<String> answer =
                        upload(
                                node,
                                "/once/a",
                                chunkedUpload
                                        ? HttpRequest.BodyPublishers.ofInputStream(
                                                () -> new ByteArrayInputStream(body))
                                        : HttpRequest.BodyPublishers.ofByteArray(body));
                assertThat(FAILURES).contains(answer.statusCode());
                assertThat(answer.body()).doesNotContain("part of it");
            }
        }
    }

    @Test
    void streamThatIsResetDuringTheUploadIsNotComplete() throws Exception {
        String part =
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n"
                        + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
        try (ResettingEndpoint endpoint = new ResettingEndpoint(part)) {
            store.putEndpoint("i-1", "llm", "ready", endpoint.address());
            try (TestGateway node = TestGateway.start("n1", store, cloud)) {
                TestGateway.await(node::isReady);
                boolean complete;
                try {
                    HttpResponse<String> answer =
                            upload(
                                    node,
                                    "/llm/a",
                                    HttpRequest.BodyPublishers.ofByteArray(new byte[BODY_BYTES]));
                    complete = answer.statusCode() == 200;
                } catch (UncheckedIOException e) {
                    complete = false;
                }
                assertThat(complete).isFalse();
            }
        }
    }

    @Test
    void completeAnswerBeforeTheEndOfTheUploadIsPassedOn() throws Exception {
        String whole =
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n"
                        + "Content-Length: 5\r\n\r\nwhole";
        try (ResettingEndpoint endpoint = new ResettingEndpoint(whole)) {
            store.putEndpoint("i-1", "desk", "ready", endpoint.address());
            try (TestGateway node = TestGateway.start("n1", store, cloud)) {
                TestGateway.await(node::isReady);
                HttpResponse<String> answer =
                        upload(
                                node,
                                "/once/a",
                                HttpRequest.BodyPublishers.ofByteArray(new byte[BODY_BYTES]));
                assertThat(answer.statusCode()).isEqualTo(200);
                assertThat(answer.body()).isEqualTo("whole");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600", "999"})
    void answerWithAnInvalidStatusIsNoAnswer(String status) throws Exception {
        try (RawEndpointStandIn endpoint =
                RawEndpointStandIn.start(
                        (request, connection) ->
                                connection.write(
                                        "HTTP/1.1 "
                                                + status
                                                + " Trouble\r\nX-Attempt-Id: "
                                                + request.header("X-Attempt-Id")
                                                + "\r\nX-Server-Stamp: s\r\n"
                                                + "Content-Length: 2\r\n\r\nno"))) {
            endpoint.register(store, "i-1", "desk");
            try (TestGateway node = TestGateway.start("n1", store, cloud)) {
                TestGateway.await(node::isReady);
                assertThat(FAILURES).contains(node.post("/once/a", "bid").statusCode());
            }
        }
    }
}
