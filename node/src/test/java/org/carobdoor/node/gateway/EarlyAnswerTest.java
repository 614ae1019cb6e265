package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.io.UncheckedIOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.EarlyAnswerStandIn;
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

    /** Statuses with which a node reports to a caller that it has no answer. */
    private static final List<Integer> FAILURES = List.of(502, 504);

    private StoreStandIn store;
    private CloudStandIn cloud;

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
        try (EarlyAnswerStandIn endpoint = EarlyAnswerStandIn.start(part)) {
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
        try (EarlyAnswerStandIn endpoint = EarlyAnswerStandIn.start(part)) {
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
        try (EarlyAnswerStandIn endpoint = EarlyAnswerStandIn.start(whole)) {
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
