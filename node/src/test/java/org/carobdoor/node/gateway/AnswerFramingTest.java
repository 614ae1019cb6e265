package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Request;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an endpoint's answer whose framing leaves its body encoded, or leaves bytes of it
 * on the connection for the next request.
 */
final class AnswerFramingTest {
    private static final String BODY = "the body";

    private StoreStandIn store;
    private CloudStandIn cloud;

    @BeforeEach
    void start() {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
    }

    @AfterEach
    void stop() {
        cloud.close();
        store.close();
    }

    @ParameterizedTest
    @CsvSource({
        "1.1, 'Transfer-Encoding: gzip'",
        "1.1, 'Transfer-Encoding: identity'",
        "1.1, 'Transfer-Encoding: gzip, chunked'",
        "1.1, 'Transfer-Encoding: chunked, gzip'",
        "1.1, 'Transfer-Encoding: chunked|Transfer-Encoding: identity'",
        "1.1, 'Transfer-Encoding: gzip|Content-Length: 4'",
        "1.0, 'Transfer-Encoding: chunked'"
    })
    void answerOfAmbiguousLengthIsNotForwarded(String version, String framing) throws Exception {
        try (RawEndpointStandIn endpoint =
                RawEndpointStandIn.start(
                        (request, connection) -> {
                            boolean odd = request.head().contains("/odd");
                            connection.write(
                                    odd
                                            ? head(request, version, framing.replace("|", "\r\n"))
                                                    + "8\r\n"
                                                    + BODY
                                                    + "\r\n0\r\n\r\n"
                                            : head(request, "1.1", "Content-Length: 8") + BODY);
                            if (odd) {
                                connection.close();
                            }
                        })) {
            endpoint.register(store, "i-1", "desk");
            try (TestGateway node = TestGateway.start("n1", store, cloud)) {
                TestGateway.await(node::isReady);
                assertThat(node.post("/once/whole", "").body()).isEqualTo(BODY);
                assertThat(node.post("/once/odd", "").statusCode()).isEqualTo(502);
                HttpResponse<String> next = node.post("/once/whole", "");
                assertThat(next.statusCode()).isEqualTo(200);
                assertThat(next.body()).isEqualTo(BODY);
            }
        }
    }

    private static String head(Request request, String version, String framing) {
        return "HTTP/"
                + version
                + " 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                + request.header("X-Attempt-Id")
                + "\r\n"
                + framing
                + "\r\n\r\n";
    }
}
