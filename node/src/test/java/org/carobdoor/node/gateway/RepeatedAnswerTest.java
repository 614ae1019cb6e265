package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.http.HttpResponse;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Request;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Responder;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against endpoints that answer a request twice, so that one of its answers is misused. */
final class RepeatedAnswerTest {
    private static final long LATE_MILLIS = 100;

    private static final String METRIC = "carobdoor_gateway_unexpected_answers_total";

    private StoreStandIn store;
    private CloudStandIn cloud;

    /** Started by each test after its endpoint is listed. */
    @SuppressWarnings("NullAway.Init")
    private TestGateway node;

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

    private RawEndpointStandIn startEndpoint(Responder responder) throws InterruptedException {
        RawEndpointStandIn endpoint = RawEndpointStandIn.start(responder);
        endpoint.register(store, "i-1", "desk");
        node = TestGateway.start("n1", store, cloud);
        TestGateway.await(node::isReady);
        return endpoint;
    }

    private static String answer(int status, String id, String body) {
        return "HTTP/1.1 "
                + status
                + " X\r\n"
                + (id.isEmpty() ? "" : "X-Attempt-Id: " + id + "\r\n")
                + "X-Server-Stamp: s\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private String unexpectedAnswers(String reaction) {
        return node.metric(METRIC + "\\{reaction=\"" + reaction + "\"\\}");
    }

    private static String idOf(Request request) {
        return request.header("X-Attempt-Id");
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
        "/safe/a, 500, ''",
        "/once/a, 500, ''",
        "/safe/a, 504, ''",
        "/once/a, 504, ''",
        "/safe/a, 500, other",
        "/once/a, 504, other"
    })
    void failureThatNamesNoRequestIsNotReplacedByALaterSuccess(String path, int status, String id)
            throws Exception {
        try (RawEndpointStandIn endpoint =
                startEndpoint(
                        (request, connection) -> {
                            if (request.number() > 1) {
                                connection.write(answer(status, id, "failed"));
                                pause();
                            }
                            connection.write(answer(200, idOf(request), "done"));
                        })) {
            assertThat(node.post(path, "first").statusCode()).isEqualTo(200);
            HttpResponse<String> r = node.post(path, "second");
            assertThat(endpoint.requests().get(1).number()).isEqualTo(2);
            assertWithMessage("answer of an endpoint that failed first: %s", r.body())
                    .that(r.statusCode())
                    .isAtLeast(500);
            assertThat(r.body()).doesNotContain("not_run");
        }
    }

    @Test
    void repeatedAnswerToAnEarlierRequestDoesNotEndTheNextOne() throws Exception {
        String[] earlier = {""};
        try (RawEndpointStandIn endpoint =
                startEndpoint(
                        (request, connection) -> {
                            if (request.number() > 1) {
                                connection.write(answer(500, earlier[0], "repeated"));
                            }
                            earlier[0] = idOf(request);
                            connection.write(answer(200, idOf(request), "own"));
                        })) {
            node.post("/once/a", "first");
            HttpResponse<String> r = node.post("/once/a", "second");
            assertThat(endpoint.requests().get(1).number()).isEqualTo(2);
            assertThat(r.statusCode()).isEqualTo(200);
            assertThat(r.body()).isEqualTo("own");
            assertThat(unexpectedAnswers("dropped")).isEqualTo("1");
        }
    }

    @Test
    void connectionOnWhichASecondAnswerArrivesIsNotUsedAgain() throws Exception {
        try (RawEndpointStandIn endpoint =
                startEndpoint(
                        (request, connection) ->
                                connection.write(
                                        answer(500, idOf(request), "own")
                                                + answer(200, idOf(request), "again")))) {
            for (int i = 0; i < 3; i++) {
                assertThat(node.post("/once/a", "bid").statusCode()).isEqualTo(500);
            }
            assertThat(endpoint.requests().stream().map(Request::number)).containsExactly(1, 1, 1);
            assertThat(unexpectedAnswers("closed")).isEqualTo("3");
        }
    }

    @Test
    void endpointThatRepeatsAnswersWithoutAnIdCostsFewRequests() throws Exception {
        try (RawEndpointStandIn endpoint =
                startEndpoint(
                        (request, connection) -> {
                            if (request.number() > 1) {
                                connection.write(answer(200, "", "repeated"));
                            }
                            connection.write(answer(200, idOf(request), "own"));
                        })) {
            int failed = 0;
            for (int i = 0; i < 10; i++) {
                HttpResponse<String> r = node.post("/once/a", "bid");
                assertThat(r.body()).isNotEqualTo("repeated");
                failed += r.statusCode() == 200 ? 0 : 1;
            }
            assertThat(endpoint.requests()).hasSize(10);
            assertThat(failed).isAtMost(1);
        }
    }
}
