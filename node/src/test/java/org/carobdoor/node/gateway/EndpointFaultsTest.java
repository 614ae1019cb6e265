package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Request;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Responder;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against answers of faulty endpoints that are taken for those of other requests, and
 * against broken streams that look complete or contain other answers.
 */
final class EndpointFaultsTest {
    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";
    private static final String EVENT_3 = "id: 3\ndata: c\n\n";

    private StoreStandIn store;
    private CloudStandIn cloud;

    /** Started by each test after its endpoints are listed. */
    @SuppressWarnings("NullAway.Init")
    private TestGateway node;

    @BeforeEach
    void start() {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
    }

    private void startNode() throws InterruptedException {
        node = TestGateway.start("n1", store, cloud);
        TestGateway.await(node::isReady);
    }

    @AfterEach
    void stop() {
        node.close();
        cloud.close();
        store.close();
    }

    private static String answer(int status, String idHeader, String more, String body) {
        return "HTTP/1.1 "
                + status
                + " X\r\n"
                + idHeader
                + more
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String idHeader(Request request) {
        return "X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\n";
    }

    private static String success(Request request, String body) {
        return answer(200, idHeader(request), "X-Server-Stamp: s\r\n", body);
    }

    /** Returns the head of a stream that ends with its connection. */
    private static String streamHead(Request request) {
        return "HTTP/1.1 200 OK\r\n"
                + idHeader(request)
                + "X-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n";
    }

    private RawEndpointStandIn startEndpoint(String id, String service, Responder responder) {
        RawEndpointStandIn endpoint = RawEndpointStandIn.start(responder);
        endpoint.register(store, id, service);
        return endpoint;
    }

    /** Returns the response; empty if the connection was closed before its end. */
    private Optional<HttpResponse<String>> post(String path) {
        try {
            return Optional.of(node.post(path, "body"));
        } catch (UncheckedIOException e) {
            return Optional.empty();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "X-Attempt-Id: other\r\n", "the earlier id"})
    void repeatedRefusalIsNotTakenForTheAnswerToTheNextRequest(String id) throws Exception {
        String[] earlier = {""};
        AtomicInteger executed = new AtomicInteger();
        try (RawEndpointStandIn endpoint =
                startEndpoint(
                        "i-1",
                        "desk",
                        (request, connection) -> {
                            if (request.head().contains("/once/refused")) {
                                earlier[0] = idHeader(request);
                                connection.write(
                                        answer(503, earlier[0], "X-Not-Executed: 1\r\n", "full"));
                            } else {
                                executed.incrementAndGet();
                                String repeatedId = id.startsWith("the") ? earlier[0] : id;
                                connection.write(
                                        answer(503, repeatedId, "X-Not-Executed: 1\r\n", "full"));
                                connection.write(success(request, "done"));
                            }
                        })) {
            startNode();
            assertThat(node.post("/once/refused", "bid").statusCode()).isEqualTo(503);
            HttpResponse<String> r = node.post("/once/run", "bid");
            assertThat(executed.get()).isEqualTo(1);
            assertThat(endpoint.requests().getLast().number()).isGreaterThan(1);
            assertWithMessage("answer to a request that has run: %s", r.body())
                    .that(r.statusCode())
                    .isNotIn(List.of(408, 421, 429, 503));
            assertThat(r.body()).doesNotContain("not_run");
        }
    }

    @Test
    void repeatedSuccessIsNotTakenForTheAnswerToTheNextRequest() throws Exception {
        try (RawEndpointStandIn endpoint =
                startEndpoint(
                        "i-1",
                        "desk",
                        (request, connection) -> {
                            if (request.head().contains("/once/second")) {
                                connection.write(answer(200, "", "X-Server-Stamp: s\r\n", "first"));
                            }
                            connection.write(success(request, "own"));
                        })) {
            startNode();
            assertThat(node.post("/once/first", "bid").body()).isEqualTo("own");
            assertThat(node.post("/once/second", "bid").body()).isNotEqualTo("first");
            assertThat(endpoint.requests().getLast().number()).isGreaterThan(1);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "500 with a stamp",
                "503 not executed",
                "404",
                "empty stream",
                "stream from the start",
                "200 without a stamp",
                "no answer"
            })
    void brokenStreamNeverContinuesWithAnotherAnswer(String next) throws Exception {
        checkThatStreamIsNotContinued(next, RawEndpointStandIn.Connection::close);
        node.close();
        checkThatStreamIsNotContinued(
                next,
                connection -> {
                    sleep();
                    connection.reset();
                });
    }

    private interface Break {
        void apply(RawEndpointStandIn.Connection connection) throws IOException;
    }

    private void checkThatStreamIsNotContinued(String next, Break end) throws Exception {
        AtomicInteger streams = new AtomicInteger();
        Responder responder =
                (request, connection) -> {
                    if (streams.incrementAndGet() == 1) {
                        connection.write(streamHead(request) + EVENT_1 + EVENT_2 + "id: 3\nda");
                        end.apply(connection);
                        return;
                    }
                    switch (next) {
                        case "500 with a stamp" ->
                                connection.write(
                                        answer(
                                                500,
                                                idHeader(request),
                                                "X-Server-Stamp: s\r\n",
                                                "an error"));
                        case "503 not executed" ->
                                connection.write(
                                        answer(
                                                503,
                                                idHeader(request),
                                                "X-Not-Executed: 1\r\n",
                                                "an error"));
                        case "404" ->
                                connection.write(answer(404, idHeader(request), "", "an error"));
                        case "empty stream" -> {
                            connection.write(streamHead(request));
                            connection.close();
                        }
                        case "stream from the start" -> {
                            connection.write(streamHead(request) + EVENT_1 + EVENT_2 + EVENT_3);
                            connection.close();
                        }
                        case "200 without a stamp" ->
                                connection.write(answer(200, idHeader(request), "", EVENT_3));
                        default -> connection.close();
                    }
                };
        try (RawEndpointStandIn first = startEndpoint("i-1", "llm", responder);
                RawEndpointStandIn second = startEndpoint("i-2", "llm", responder)) {
            startNode();
            Optional<HttpResponse<String>> r = post("/llm/a");
            assertWithMessage("response %s", r.map(HttpResponse::body)).that(r).isEmpty();
            assertThat(streams.get()).isEqualTo(2);
            assertThat(first.requests().size() + second.requests().size()).isEqualTo(2);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "id: 1\nda", EVENT_1 + EVENT_2 + "id: 3\ndata: c\n"})
    void streamThatEndsWithItsConnectionInsideAnEventIsBroken(String sent) throws Exception {
        try (RawEndpointStandIn engine = startEndpoint("i-1", "llm", stream(sent))) {
            startNode();
            Optional<HttpResponse<String>> r = post("/llm/a");
            assertThat(r.map(HttpResponse::statusCode).orElse(502)).isEqualTo(502);
            assertThat(engine.requests()).hasSize(1);
        }
    }

    @Test
    void streamThatEndsWithItsConnectionAfterAnEventIsComplete() throws Exception {
        try (RawEndpointStandIn engine = startEndpoint("i-1", "llm", stream(EVENT_1 + EVENT_2))) {
            startNode();
            assertThat(post("/llm/a").map(HttpResponse::body)).hasValue(EVENT_1 + EVENT_2);
            assertThat(engine.requests()).hasSize(1);
        }
    }

    @Test
    void streamThatIsResetAfterAnEventIsBroken() throws Exception {
        Responder responder =
                (request, connection) -> {
                    connection.write(streamHead(request) + EVENT_1);
                    sleep();
                    connection.reset();
                };
        try (RawEndpointStandIn engine = startEndpoint("i-1", "llm", responder)) {
            startNode();
            assertThat(post("/llm/a")).isEmpty();
            assertThat(engine.requests()).hasSize(1);
        }
    }

    private static Responder stream(String events) {
        return (request, connection) -> {
            connection.write(streamHead(request) + events);
            connection.close();
        };
    }

    private static void sleep() throws IOException {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
