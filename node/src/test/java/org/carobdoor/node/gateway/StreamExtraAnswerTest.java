package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobdoor.standins.RawCaller;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Connection;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Request;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Responder;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams that contain, or are followed by, another answer of their endpoint. */
final class StreamExtraAnswerTest {
    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";
    private static final String EVENT_3 = "id: 3\ndata: c\n\n";
    private static final String EVENTS = EVENT_1 + EVENT_2 + EVENT_3;
    private static final long PAUSE_MILLIS = 50;

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

    private static String head(Request request, String framing) {
        return "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                + request.header("X-Attempt-Id")
                + "\r\nContent-Type: text/event-stream\r\n"
                + framing
                + "\r\n\r\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns an extra answer: its status, and whose id it has. */
    private static String extra(Request request, String kind) {
        String status = kind.substring(0, 3);
        String id =
                switch (kind.substring(4)) {
                    case "own" -> "X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\n";
                    case "other" -> "X-Attempt-Id: other\r\n";
                    default -> "";
                };
        return "HTTP/1.1 "
                + status
                + " X\r\nX-Server-Stamp: s\r\n"
                + id
                + "Content-Type: text/event-stream\r\nContent-Length: "
                + EVENT_3.length()
                + "\r\n\r\n"
                + EVENT_3;
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private static boolean isStream(Request request) {
        return request.head().contains("/stream");
    }

    @ParameterizedTest
    @CsvSource({
        "length, 500 none, false",
        "length, 500 own, false",
        "length, 200 own, false",
        "length, 200 other, false",
        "length, 200 none, true",
        "length, 200 own, true",
        "chunked, 500 none, false",
        "chunked, 500 own, true",
        "chunked, 200 own, false",
        "chunked, 200 none, false",
        "chunked, 200 own, true"
    })
    void extraAnswerAfterAStreamBelongsToNoRequest(String framing, String kind, boolean later)
            throws Exception {
        Responder responder =
                (request, connection) -> {
                    if (!isStream(request)) {
                        connection.write(
                                head(request, "Content-Length: " + EVENT_1.length()) + EVENT_1);
                        return;
                    }
                    String stream =
                            framing.equals("length")
                                    ? head(request, "Content-Length: " + EVENTS.length()) + EVENTS
                                    : head(request, "Transfer-Encoding: chunked")
                                            + chunk(EVENTS)
                                            + "0\r\n\r\n";
                    if (later) {
                        connection.write(stream);
                        pause();
                        connection.write(extra(request, kind));
                    } else {
                        connection.write(stream + extra(request, kind));
                    }
                };
        try (RawEndpointStandIn engine = RawEndpointStandIn.start(responder)) {
            engine.register(store, "i-1", "llm");
            startNode();
            try (RawCaller caller = RawCaller.connect(node.callers())) {
                // The second stream is on a kept connection of the endpoint.
                for (String path : new String[] {"/llm/next", "/llm/stream", "/llm/next"}) {
                    for (int i = 0; i < 2; i++) {
                        String id = path + i;
                        caller.send(RawCaller.request("GET", path, id));
                        RawCaller.Answer a = caller.read("GET");
                        assertWithMessage("%s", a).that(a.status()).isAnyOf(200, 502);
                        if (a.status() == 200) {
                            assertThat(a.header("X-Attempt-Id")).isEqualTo(id);
                            assertThat(a.body())
                                    .isEqualTo(path.endsWith("next") ? EVENT_1 : EVENTS);
                        }
                    }
                }
                assertThat(caller.isSilent((int) PAUSE_MILLIS * 2)).isTrue();
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "length, 500 none",
        "length, 200 own",
        "chunked, 500 none",
        "chunked, 500 own",
        "chunked, 200 own",
        "chunked, 200 other",
        "connection, 500 none",
        "connection, 200 own"
    })
    void secondHeadInsideAStreamIsNotPartOfIt(String framing, String kind) throws Exception {
        Responder responder =
                (request, connection) -> {
                    String extra = extra(request, kind);
                    switch (framing) {
                        // The stream is shorter than stated, and the extra answer fills it up.
                        case "length" ->
                                connection.write(
                                        head(request, "Content-Length: " + EVENTS.length())
                                                + EVENT_1
                                                + extra);
                        case "chunked" ->
                                connection.write(
                                        head(request, "Transfer-Encoding: chunked")
                                                + chunk(EVENT_1)
                                                + extra);
                        default -> connection.write(head(request, "A: b") + EVENT_1 + extra);
                    }
                    connection.close();
                };
        try (RawEndpointStandIn engine = RawEndpointStandIn.start(responder)) {
            engine.register(store, "i-1", "llm");
            startNode();
            try (RawCaller caller = RawCaller.connect(node.callers())) {
                caller.send(RawCaller.request("GET", "/llm/stream", "id-1"));
                String read;
                try {
                    RawCaller.Answer a = caller.read("GET");
                    read = a.status() == 502 ? "" : a.body();
                } catch (IOException e) {
                    read = String.valueOf(e.getMessage());
                }
                assertThat(read).doesNotContain("HTTP/1.1 " + kind.substring(0, 3) + " X");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void resumedStreamContainsNothingElseOfItsFirstEndpoint(boolean later) throws Exception {
        AtomicInteger streams = new AtomicInteger();
        Responder responder =
                (request, connection) -> {
                    if (streams.incrementAndGet() > 1) {
                        connection.write(
                                head(request, "Content-Length: " + (EVENT_2 + EVENT_3).length())
                                        + EVENT_2);
                        pause();
                        pause();
                        connection.write(EVENT_3);
                        return;
                    }
                    String start =
                            head(request, "Transfer-Encoding: chunked") + chunk(EVENT_1) + "zz\r\n";
                    String rest =
                            chunk("id: 2\ndata: first endpoint\n\n")
                                    + "0\r\n\r\n"
                                    + extra(request, "200 own");
                    goOn(connection, start, rest, later);
                };
        try (RawEndpointStandIn first = RawEndpointStandIn.start(responder);
                RawEndpointStandIn second = RawEndpointStandIn.start(responder)) {
            first.register(store, "i-1", "llm");
            second.register(store, "i-2", "llm");
            startNode();
            try (RawCaller caller = RawCaller.connect(node.callers())) {
                caller.send(RawCaller.request("GET", "/llm/stream", "id-1"));
                RawCaller.Answer a = caller.read("GET");
                assertThat(a.body()).isEqualTo(EVENTS);
                assertThat(streams.get()).isEqualTo(2);
                assertThat(caller.isSilent((int) PAUSE_MILLIS * 2)).isTrue();
            }
        }
    }

    private static void goOn(Connection connection, String start, String rest, boolean later)
            throws IOException {
        if (later) {
            connection.write(start);
            pause();
            connection.write(rest);
        } else {
            connection.write(start + rest);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"200 own", "500 own", "500 none"})
    void answerOfAnEndpointThatWasGivenUpIsDropped(String kind) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        Responder responder =
                (request, connection) -> {
                    if (requests.incrementAndGet() == 1) {
                        // Longer than half of the route's latency objective.
                        for (int i = 0; i < 6; i++) {
                            pause();
                        }
                        connection.write(extra(request, kind));
                    } else {
                        connection.write(head(request, "Content-Length: 3") + "own");
                    }
                };
        try (RawEndpointStandIn first = RawEndpointStandIn.start(responder);
                RawEndpointStandIn second = RawEndpointStandIn.start(responder)) {
            first.register(store, "i-1", "desk");
            second.register(store, "i-2", "desk");
            startNode();
            try (RawCaller caller = RawCaller.connect(node.callers())) {
                for (int i = 0; i < 4; i++) {
                    caller.send(RawCaller.request("GET", "/safe/a", "id-" + i));
                    RawCaller.Answer a = caller.read("GET");
                    assertThat(a.body()).isEqualTo("own");
                    assertThat(a.header("X-Attempt-Id")).isEqualTo("id-" + i);
                }
                assertThat(caller.isSilent((int) PAUSE_MILLIS * 8)).isTrue();
            }
        }
    }
}
