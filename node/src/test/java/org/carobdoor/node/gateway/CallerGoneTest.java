package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.carobdoor.standins.RawCaller;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Connection;
import org.carobdoor.standins.gateway.RawEndpointStandIn.Request;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against sending the requests of a caller that has closed its connection. */
final class CallerGoneTest {
    private static final int ANSWER_MILLIS = 400;

    private StoreStandIn store;
    private CloudStandIn cloud;
    private RawEndpointStandIn desk;
    private TestGateway node;

    @BeforeEach
    void start() throws InterruptedException {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
        desk = RawEndpointStandIn.start(CallerGoneTest::respond);
        desk.register(store, "i-1", "desk");
        node = TestGateway.start("n1", store, cloud);
        TestGateway.await(node::isReady);
    }

    @AfterEach
    void stop() {
        node.close();
        desk.close();
        cloud.close();
        store.close();
    }

    private static void respond(Request request, Connection connection) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(ANSWER_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
        connection.write(
                "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                        + request.header("X-Attempt-Id")
                        + "\r\nContent-Length: 4\r\n\r\ndone");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 20, 200})
    void pipelinedRequestsOfACallerThatHasGoneAreNotSent(int pipelined) throws Exception {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i <= pipelined; i++) {
            requests.append(RawCaller.request("GET", "/once/a", "id-" + i));
        }
        try (RawCaller caller = RawCaller.connect(node.callers())) {
            caller.send(requests.toString());
            TestGateway.await(() -> !desk.requests().isEmpty());
        }
        TimeUnit.MILLISECONDS.sleep(3 * ANSWER_MILLIS);
        assertThat(desk.requests()).hasSize(1);
    }
}
