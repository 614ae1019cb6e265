package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.RawEndpointStandIn;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests with a common part that crash one endpoint after the other. Runs two
 * nodes against engines that crash when they begin to answer such a request.
 */
final class CrashingRequestTest {
    private static final String DEADLY_PART = "dead";
    private static final long AWAY_MILLIS = 700;
    private static final int ENGINES = 6;

    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger nextPart = new AtomicInteger(0x1000);
    private final List<RawEndpointStandIn> engines = new ArrayList<>();
    private StoreStandIn store;
    private CloudStandIn cloud;
    private TestGateway node;
    private TestGateway otherNode;

    @BeforeEach
    void start() throws InterruptedException {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
        for (int i = 0; i < ENGINES; i++) {
            startEngine("i-" + i);
        }
        node = TestGateway.start("n1", store, cloud);
        otherNode = TestGateway.start("n2", store, cloud);
        TestGateway.await(() -> node.isReady() && otherNode.isReady());
        TestGateway.await(() -> node.nodeCount() == 2 && otherNode.nodeCount() == 2);
    }

    private void startEngine(String id) {
        RawEndpointStandIn[] engine = new RawEndpointStandIn[1];
        engine[0] =
                RawEndpointStandIn.start(
                        (request, connection) -> {
                            if (request.header("X-Prompt-Prefix").contains(DEADLY_PART + ":")) {
                                crashes.incrementAndGet();
                                engine[0].crash(AWAY_MILLIS);
                                return;
                            }
                            connection.write(
                                    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                                            + request.header("X-Attempt-Id")
                                            + "\r\nContent-Type: text/event-stream\r\n"
                                            + "Content-Length: 19\r\n\r\nid: 1\ndata: token\n\n");
                        });
        engine[0].register(store, id, "llm");
        engines.add(engine[0]);
    }

    @AfterEach
    void stop() {
        node.close();
        otherNode.close();
        engines.forEach(RawEndpointStandIn::close);
        cloud.close();
        store.close();
    }

    private HttpResponse<String> send(TestGateway gateway, String parts) {
        HttpRequest request =
                gateway.request("/llm/a")
                        .header("X-Model", "m")
                        .header("X-Token-Counts", "100,10")
                        .header(
                                "X-Prompt-Prefix",
                                parts
                                        + ","
                                        + Integer.toHexString(nextPart.getAndIncrement())
                                        + ":9")
                        .POST(HttpRequest.BodyPublishers.ofString("prompt"))
                        .build();
        return gateway.send(request);
    }

    private HttpResponse<String> sendDeadly(TestGateway gateway) {
        return send(gateway, "51:50," + DEADLY_PART + ":20");
    }

    private void quarantineDeadlyPart() throws InterruptedException {
        for (int i = 0; i < 6; i++) {
            sendDeadly(i % 2 == 0 ? node : otherNode);
            Thread.sleep(200);
        }
    }

    @Test
    void requestsWithAPartThatCrashesEndpointsAreRefusedAtOnceByAllNodes() throws Exception {
        quarantineDeadlyPart();
        int crashesBefore = crashes.get();
        assertWithMessage("crashes").that(crashesBefore).isAtMost(5);
        for (int i = 0; i < 10; i++) {
            HttpResponse<String> r = sendDeadly(i % 2 == 0 ? node : otherNode);
            assertThat(r.statusCode()).isEqualTo(503);
            assertThat(r.body()).contains("quarantined");
            assertThat(r.body()).contains("not_run");
            assertThat(Double.parseDouble(r.headers().firstValue("Retry-After").orElseThrow()))
                    .isAtLeast(60.0);
        }
        assertThat(crashes.get()).isEqualTo(crashesBefore);
        assertThat(send(node, "51:50").statusCode()).isEqualTo(200);
        assertThat(send(otherNode, "51:50").statusCode()).isEqualTo(200);
    }

    @Test
    void quarantineOutlastsARestartOfAllNodes() throws Exception {
        quarantineDeadlyPart();
        TestGateway.await(() -> !store.keys("carobdoor/quarantine/").isEmpty());
        node.close();
        otherNode.close();
        node = TestGateway.start("n1", store, cloud);
        otherNode = TestGateway.start("n2", store, cloud);
        TestGateway.await(() -> node.isReady() && otherNode.isReady());
        int crashesBefore = crashes.get();
        assertThat(sendDeadly(node).statusCode()).isEqualTo(503);
        assertThat(sendDeadly(otherNode).statusCode()).isEqualTo(503);
        assertThat(crashes.get()).isEqualTo(crashesBefore);
    }

    @Test
    void deletedKeyLiftsTheQuarantine() throws Exception {
        quarantineDeadlyPart();
        TestGateway.await(() -> !store.keys("carobdoor/quarantine/").isEmpty());
        store.keys("carobdoor/quarantine/").forEach(store::delete);
        TestGateway.await(() -> node.metric("carobdoor_gateway_quarantined_patterns").equals("0"));
        int crashesBefore = crashes.get();
        sendDeadly(node);
        assertThat(crashes.get()).isGreaterThan(crashesBefore);
    }

    @Test
    void requestsToAResourceThatCrashesAPlainServiceAreRefused() throws Exception {
        List<RawEndpointStandIn> desks = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            RawEndpointStandIn[] desk = new RawEndpointStandIn[1];
            desk[0] =
                    RawEndpointStandIn.start(
                            (request, connection) -> {
                                if (request.head().contains("/once/deadly")) {
                                    crashes.incrementAndGet();
                                    desk[0].crash(AWAY_MILLIS);
                                    return;
                                }
                                connection.write(
                                        "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: "
                                                + request.header("X-Attempt-Id")
                                                + "\r\nContent-Length: 2\r\n\r\nok");
                            });
            desk[0].register(store, "d-" + i, "desk");
            desks.add(desk[0]);
        }
        TestGateway.await(() -> node.get("/safe/a").statusCode() == 200);
        for (int i = 0; i < 6; i++) {
            node.post("/once/deadly", "body " + i);
            Thread.sleep(200);
        }
        int crashesBefore = crashes.get();
        assertWithMessage("crashes").that(crashesBefore).isIn(List.of(3, 4, 5));
        HttpResponse<String> r = node.post("/once/deadly", "another body");
        assertThat(r.statusCode()).isEqualTo(503);
        assertThat(r.body()).contains("quarantined");
        assertThat(node.post("/once/sound", "body").statusCode()).isEqualTo(200);
        assertThat(crashes.get()).isEqualTo(crashesBefore);
        desks.forEach(RawEndpointStandIn::close);
    }

    @Test
    void lostAnswersOfEndpointsThatAreUpDoNotQuarantine() throws IOException {
        engines.forEach(RawEndpointStandIn::close);
        try (RawEndpointStandIn lossy =
                RawEndpointStandIn.start((request, connection) -> connection.reset())) {
            lossy.register(store, "i-0", "llm");
            for (int i = 0; i < 12; i++) {
                assertThat(sendDeadly(node).statusCode()).isNotEqualTo(200);
            }
            assertThat(node.metric("carobdoor_gateway_quarantined_patterns")).isEqualTo("0");
            assertThat(node.metric("carobdoor_gateway_endpoint_crashes_total")).isEqualTo("0");
        }
    }
}
