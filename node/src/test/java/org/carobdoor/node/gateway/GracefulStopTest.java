package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
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
 * Guards against requests that a stopping node takes and then drops: each request that arrives
 * while the node stops gets a complete response, which says that it was not run or that its outcome
 * is unknown if there is no answer.
 */
final class GracefulStopTest {
    private static final long STEP_MILLIS = 100;
    private static final int STEPS = 27;
    private static final int READ_TIMEOUT_MILLIS = 6_000;

    private StoreStandIn store;
    private CloudStandIn cloud;
    private TestGateway node;
    private RawEndpointStandIn desk;
    private RawEndpointStandIn engine;
    private volatile long answerMillis;

    private record Sent(long atMillis, String path, CompletableFuture<String> response) {}

    @BeforeEach
    void start() throws InterruptedException {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
        desk =
                RawEndpointStandIn.start(
                        (request, connection) -> {
                            sleep(request.head().contains("/first") ? 0 : answerMillis);
                            connection.write(
                                    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                                            + request.header("X-Attempt-Id")
                                            + "\r\nContent-Length: 4\r\n\r\ndone");
                        });
        engine =
                RawEndpointStandIn.start(
                        (request, connection) -> {
                            sleep(request.head().contains("/first") ? 0 : answerMillis);
                            connection.write(
                                    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                                            + request.header("X-Attempt-Id")
                                            + "\r\nContent-Type: text/event-stream\r\n"
                                            + "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n");
                        });
        desk.register(store, "i-1", "desk");
        engine.register(store, "i-2", "llm");
        node = TestGateway.start("n1", store, cloud);
        TestGateway.await(node::isReady);
    }

    @AfterEach
    void stop() {
        desk.close();
        engine.close();
        cloud.close();
        store.close();
    }

    @ParameterizedTest
    @ValueSource(longs = {50, 700, 2_200})
    void requestAtAnyTimeOfTheGracePeriodIsAnswered(long millis) throws Exception {
        answerMillis = millis;
        List<Socket> kept = new ArrayList<>();
        List<String> paths = List.of("/once/", "/safe/", "/llm/");
        for (int i = 0; i < STEPS * paths.size(); i++) {
            Socket s = new Socket("127.0.0.1", node.callers().getPort());
            s.setSoTimeout(READ_TIMEOUT_MILLIS);
            // Half of the connections are kept ones, which have carried a request before.
            if (i % 2 == 0) {
                assertThat(call(s, "/once/first", "first-" + i)).startsWith("HTTP/1.1 200");
            }
            kept.add(s);
        }
        Thread stopping = Thread.startVirtualThread(this::stopNode);
        long start = System.nanoTime();
        List<Sent> sent = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            for (String path : paths) {
                Socket s = kept.get(sent.size());
                String id = "late-" + sent.size();
                sent.add(
                        new Sent(
                                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start),
                                path,
                                CompletableFuture.supplyAsync(
                                        () -> call(s, path + "late", id),
                                        Thread::startVirtualThread)));
            }
            TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
        }
        stopping.join();
        node.close();
        for (Sent s : sent) {
            String response = s.response.get(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertWithMessage("%s at %s ms", s.path, s.atMillis)
                    .that(response)
                    .matches("(?s)HTTP/1.1 (200|503|504) .*");
            if (response.startsWith("HTTP/1.1 503")) {
                assertThat(response).contains("not_run");
            } else if (response.startsWith("HTTP/1.1 504")) {
                assertThat(response).contains("\"unknown\"");
            }
        }
        for (Socket s : kept) {
            s.close();
        }
    }

    @Test
    void stoppedNodeIsNotListedUntilItsLeaseExpires() throws Exception {
        TestGateway.await(() -> !store.keys("carobdoor/nodes/").isEmpty());
        node.close();
        assertThat(store.keys("carobdoor/nodes/")).isEmpty();
    }

    @Test
    void requestThatCannotBeAnsweredBeforeTheExitIsNotSent() throws Exception {
        answerMillis = 50;
        Thread stopping = Thread.startVirtualThread(this::stopNode);
        TimeUnit.MILLISECONDS.sleep(2_300);
        try (Socket s = new Socket("127.0.0.1", node.callers().getPort())) {
            s.setSoTimeout(READ_TIMEOUT_MILLIS);
            assertThat(call(s, "/once/late", "late")).startsWith("HTTP/1.1 503");
        }
        assertThat(desk.requests()).isEmpty();
        stopping.join();
        node.close();
    }

    private void stopNode() {
        try {
            node.gateway().stopGracefully();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the complete response, or a text that says how it broke off. */
    private static String call(Socket s, String path, String id) {
        try {
            String request =
                    "POST "
                            + path
                            + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: "
                            + id
                            + "\r\nX-Deadline-Milliseconds: 2500\r\n"
                            + "Authorization: Bearer key-1\r\nContent-Length: 3\r\n\r\nbid";
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            StringBuilder response = new StringBuilder();
            while (!isComplete(response)) {
                int b = s.getInputStream().read();
                if (b < 0) {
                    return "closed after \"" + response + '"';
                }
                response.append((char) b);
            }
            return response.toString();
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static boolean isComplete(StringBuilder response) {
        int bodyStart = response.indexOf("\r\n\r\n") + 4;
        if (bodyStart < 4) {
            return false;
        }
        if (response.indexOf("chunked") >= 0) {
            return response.toString().endsWith("\r\n0\r\n\r\n");
        }
        String length = response.toString().replaceAll("(?is).*content-length: (\\d+)\r\n.*", "$1");
        return response.length() >= bodyStart + Integer.parseInt(length);
    }

    private static void sleep(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
