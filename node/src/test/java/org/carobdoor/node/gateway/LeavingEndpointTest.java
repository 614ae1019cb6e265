package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Request;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests to an endpoint that has said in an answer that it is leaving, whatever
 * the store says of it.
 */
final class LeavingEndpointTest {
    private static final String LEAVING = "Server-Leaving: 1\r\n";
    private static final String NOT_EXECUTED = "X-Not-Executed: 1\r\n";
    private static final String SIGNED = "X-Server-Stamp: s\r\n";
    private static final int REQUESTS = 40;

    private StoreStandIn store;
    private CloudStandIn cloud;
    private TestGateway node;

    @BeforeEach
    void start() throws InterruptedException {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
        node = TestGateway.start("n1", store, cloud);
    }

    @AfterEach
    void stop() {
        node.close();
        cloud.close();
        store.close();
    }

    private static RawEndpointStandIn endpoint(int status, String headers, String body) {
        return RawEndpointStandIn.start(
                (request, connection) -> connection.write(answer(request, status, headers, body)));
    }

    private static String answer(Request request, int status, String headers, String body) {
        return "HTTP/1.1 "
                + status
                + " X\r\nX-Attempt-Id: "
                + request.header("X-Attempt-Id")
                + "\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private void awaitServing(String path) throws InterruptedException {
        TestGateway.await(node::isReady);
        TestGateway.await(() -> node.post(path, "x").statusCode() != 503);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 404, 500, 503})
    void endpointThatSaysThatItLeavesGetsNoMoreRequests(int status) throws Exception {
        String headers = LEAVING + SIGNED + (status == 503 ? NOT_EXECUTED : "");
        try (RawEndpointStandIn leaving = endpoint(status, headers, "");
                RawEndpointStandIn sound = endpoint(200, SIGNED, "ok")) {
            leaving.register(store, "i-1", "desk");
            TestGateway.await(node::isReady);
            TestGateway.await(
                    () -> {
                        node.get("/safe/a");
                        return !leaving.requests().isEmpty();
                    });
            sound.register(store, "i-2", "desk");
            TestGateway.await(
                    () -> {
                        node.get("/safe/a");
                        return !sound.requests().isEmpty();
                    });
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(node.get("/safe/a").statusCode()).isEqualTo(200);
            }
            // The store writes the entry again with each heartbeat.
            leaving.register(store, "i-1", "desk");
            TimeUnit.MILLISECONDS.sleep(600);
            for (int i = 0; i < REQUESTS; i++) {
                node.post("/once/b", "bid");
            }
            assertThat(leaving.requests()).hasSize(1);
        }
    }

    @Test
    void requestsAreRefusedAtOnceIfAllEndpointsSayThatTheyLeave() throws Exception {
        try (RawEndpointStandIn leaving = endpoint(200, LEAVING + SIGNED, "ok")) {
            leaving.register(store, "i-1", "desk");
            awaitServing("/once/a");
            long start = System.nanoTime();
            HttpResponse<String> r = node.post("/once/b", "bid");
            assertThat(r.statusCode()).isEqualTo(503);
            assertThat(r.body()).contains("no_endpoint");
            assertThat(r.headers().firstValue("Retry-After")).isPresent();
            assertThat(System.nanoTime() - start).isLessThan(500_000_000L);
            assertThat(leaving.requests()).hasSize(1);
        }
    }

    @Test
    void streamOfALeavingEndpointRunsOnToItsEnd() throws Exception {
        try (RawEndpointStandIn leaving =
                RawEndpointStandIn.start(
                        (request, connection) -> {
                            connection.write(
                                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                                            + request.header("X-Attempt-Id")
                                            + "\r\n"
                                            + LEAVING
                                            + SIGNED
                                            + "Content-Type: text/event-stream\r\n\r\n");
                            for (int i = 1; i <= 4; i++) {
                                connection.write("id: " + i + "\ndata: " + i + "\n\n");
                                pause();
                            }
                            connection.close();
                        })) {
            leaving.register(store, "i-1", "llm");
            TestGateway.await(node::isReady);
            HttpResponse<String>[] first = new HttpResponse[1];
            TestGateway.await(
                    () -> {
                        first[0] = node.post("/llm/a", "prompt");
                        return first[0].statusCode() == 200;
                    });
            assertThat(first[0].body()).contains("id: 4\ndata: 4\n\n");
            assertThat(node.post("/llm/b", "prompt").statusCode()).isEqualTo(503);
            assertThat(leaving.requests()).hasSize(1);
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void endpointIsUsedAgainAfterItsRestart() throws Exception {
        boolean[] leaves = {true};
        try (RawEndpointStandIn endpoint =
                RawEndpointStandIn.start(
                        (request, connection) ->
                                connection.write(
                                        answer(
                                                request,
                                                200,
                                                (leaves[0] ? LEAVING : "") + SIGNED,
                                                "ok")))) {
            endpoint.register(store, "i-1", "desk");
            awaitServing("/safe/a");
            assertThat(node.get("/safe/a").statusCode()).isEqualTo(503);
            leaves[0] = false;
            endpoint.registerRestarted(store, "i-1", "desk");
            TestGateway.await(() -> node.get("/safe/a").statusCode() == 200);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"421", "another endpoint", "Server-Leaving: 0"})
    void answerOfAnotherEndpointAtTheAddressMarksNoOne(String variant) throws Exception {
        boolean[] odd = {true};
        try (RawEndpointStandIn endpoint =
                RawEndpointStandIn.start(
                        (request, connection) -> {
                            boolean misdirected = odd[0] && variant.equals("421");
                            String headers =
                                    switch (variant) {
                                        case "421" -> LEAVING + (misdirected ? "" : SIGNED);
                                        case "another endpoint" ->
                                                LEAVING + "X-Instance-Id: i-9\r\n" + SIGNED;
                                        default -> variant + "\r\n" + SIGNED;
                                    };
                            connection.write(
                                    answer(request, misdirected ? 421 : 200, headers, "ok"));
                            odd[0] = false;
                        })) {
            endpoint.register(store, "i-1", "desk");
            TestGateway.await(node::isReady);
            TestGateway.await(
                    () -> {
                        node.get("/safe/a");
                        return !endpoint.requests().isEmpty();
                    });
            assertThat(node.get("/safe/a").statusCode()).isEqualTo(200);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"service\":\"desk\",\"state\":\"leaving\"}", "no json"})
    void endpointWhoseEntryTurnsUnreadableGetsNoMoreRequests(String value) throws Exception {
        try (RawEndpointStandIn endpoint = endpoint(200, SIGNED, "ok")) {
            endpoint.register(store, "i-1", "desk");
            awaitServing("/safe/a");
            store.put("servers/i-1", value);
            TestGateway.await(() -> node.get("/safe/a").statusCode() == 503);
            endpoint.register(store, "i-1", "desk");
            TestGateway.await(() -> node.get("/safe/a").statusCode() == 200);
        }
    }
}
