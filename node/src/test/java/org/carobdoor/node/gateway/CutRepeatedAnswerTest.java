package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Request;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a second answer of an endpoint that is cut off inside its head, and becomes the
 * beginning of the answer to the next request on the connection.
 */
final class CutRepeatedAnswerTest {
    private static final long LATE_MILLIS = 5;

    /** At least the connections that a node opens to an engine of the test configuration. */
    private static final int MAX_CONNECTIONS = 50;

    /** When the cut answer is sent. */
    private enum Moment {
        WITH_THE_ANSWER_BEFORE,
        ON_THE_IDLE_CONNECTION,
        WITH_THE_NEXT_ANSWER
    }

    private StoreStandIn store;
    private CloudStandIn cloud;

    /** Started by each test after its endpoint is listed. */
    @SuppressWarnings("NullAway.Init")
    private TestGateway node;

    private volatile int cut;
    private volatile String firstId = "";

    @BeforeEach
    void start() {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
    }

    @AfterEach
    void stop() {
        node.close();
        cloud.close();
        store.close();
    }

    private static String head(int status, String id, String more, int length) {
        return "HTTP/1.1 "
                + status
                + " Some\r\nX-First: value\r\n"
                + more
                + "X-Attempt-Id: "
                + id
                + "\r\nX-Server-Stamp: s\r\nContent-Length: "
                + length
                + "\r\n\r\n";
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(LATE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "200, 500, WITH_THE_ANSWER_BEFORE",
        "200, 500, ON_THE_IDLE_CONNECTION",
        "200, 504, WITH_THE_NEXT_ANSWER",
        "503, 200, WITH_THE_ANSWER_BEFORE",
        "503, 200, ON_THE_IDLE_CONNECTION",
        "503, 200, WITH_THE_NEXT_ANSWER"
    })
    void cutAnswerIsNotJoinedWithTheNextOne(int repeated, int own, Moment moment) throws Exception {
        try (RawEndpointStandIn endpoint =
                RawEndpointStandIn.start(
                        (request, connection) ->
                                respond(request, connection, repeated, own, moment))) {
            endpoint.register(store, "i-1", "desk");
            node = TestGateway.start("n1", store, cloud);
            TestGateway.await(node::isReady);
            int length = head(repeated, "earlier", "X-Not-Executed: 1\r\n", 0).length();
            for (cut = 1; cut < length; cut++) {
                node.post("/once/first", "bid");
                if (moment == Moment.ON_THE_IDLE_CONNECTION) {
                    pause();
                    pause();
                }
                HttpResponse<String> r = node.post("/once/second", "bid");
                assertWithMessage("cut after %s bytes: %s %s", cut, r.statusCode(), r.body())
                        .that(r.statusCode())
                        .isIn(List.of(own, 502));
            }
        }
    }

    @Test
    void streamsThatAreFollowedByACutAnswerUseUpNoConnections() throws Exception {
        String event = "id: 1\ndata: a\n\n";
        try (RawEndpointStandIn engine =
                RawEndpointStandIn.start(
                        (request, connection) ->
                                connection.write(
                                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                                                + request.header("X-Attempt-Id")
                                                + "\r\nX-Server-Stamp: s\r\n"
                                                + "Content-Type: text/event-stream\r\n"
                                                + "Content-Length: "
                                                + event.length()
                                                + "\r\n\r\n"
                                                + event
                                                + "HTTP/1.1 20"))) {
            engine.register(store, "i-1", "llm");
            node = TestGateway.start("n1", store, cloud);
            TestGateway.await(node::isReady);
            for (int i = 0; i <= MAX_CONNECTIONS; i++) {
                HttpResponse<String> r = node.post("/llm/a", "prompt");
                assertWithMessage("stream %s: %s", i, r.body()).that(r.body()).isEqualTo(event);
            }
        }
    }

    private void respond(
            Request request,
            RawEndpointStandIn.Connection connection,
            int repeated,
            int own,
            Moment moment)
            throws IOException {
        String id = request.header("X-Attempt-Id");
        boolean first = request.head().contains("/once/first");
        if (first) {
            firstId = id;
        }
        String executed = repeated == 503 ? "X-Not-Executed: 1\r\n" : "";
        String again = head(repeated, firstId, executed, 4);
        String cutAnswer = again.substring(0, Math.min(cut, again.length()));
        String answer = first ? head(200, id, "", 4) + "done" : head(own, id, "", 4) + "done";
        if (first && moment == Moment.WITH_THE_ANSWER_BEFORE) {
            connection.write(answer + cutAnswer);
        } else if (first && moment == Moment.ON_THE_IDLE_CONNECTION) {
            connection.write(answer);
            pause();
            connection.write(cutAnswer);
        } else if (!first && moment == Moment.WITH_THE_NEXT_ANSWER && request.number() > 1) {
            connection.write(cutAnswer + answer);
        } else {
            connection.write(answer);
        }
    }
}
