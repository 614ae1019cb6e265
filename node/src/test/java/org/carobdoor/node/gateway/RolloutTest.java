package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.carobdoor.standins.gateway.BackendStandIn;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Rolls out versions of a service whose endpoints answer over loopback. */
final class RolloutTest {
    private static final String STATUS = "status/rollout/desk";

    private StoreStandIn store;
    private CloudStandIn cloud;
    private TestGateway node;
    private BackendStandIn oldEndpoint;
    private BackendStandIn newEndpoint;

    @BeforeEach
    void start() throws InterruptedException {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
        oldEndpoint = BackendStandIn.start("i-1");
        newEndpoint = BackendStandIn.start("i-2");
        oldEndpoint.registerVersion(store, "desk", "v1");
        node = TestGateway.startWithRollouts("n1", store, cloud, 0.3);
        TestGateway.await(node::isReady);
        TestGateway.await(() -> node.get("/safe/a").statusCode() == 200);
    }

    @AfterEach
    void stop() {
        node.close();
        oldEndpoint.close();
        newEndpoint.close();
        cloud.close();
        store.close();
    }

    private String status() {
        return store.value(STATUS).orElse("");
    }

    private void order(double seconds) {
        newEndpoint.registerVersion(store, "desk", "v2");
        store.put(
                "op/rollout/desk",
                "{\"service\":\"desk\",\"to\":\"v2\",\"durationS\":" + seconds + "}");
        store.put("op/other/desk", "not JSON");
    }

    /** Sends requests until the status has {@code state}; returns their number. */
    private int sendUntil(String state) throws InterruptedException {
        int sent = 0;
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!status().contains("\"" + state + "\"")) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("status is " + status());
            }
            node.get("/safe/" + sent++);
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return sent;
    }

    @Test
    void badVersionIsRolledBackAndGetsNoMoreRequests() throws Exception {
        newEndpoint.setMode(BackendStandIn.Mode.FAIL);
        order(15);
        int sent = sendUntil("rolled_back");
        int exposed = newEndpoint.arrivals();
        assertThat(exposed).isGreaterThan(0);
        assertThat(exposed).isAtMost((int) (0.3 * sent) + 50);
        for (int i = 0; i < 100; i++) {
            assertThat(node.get("/safe/after").statusCode()).isEqualTo(200);
        }
        assertThat(newEndpoint.arrivals()).isEqualTo(exposed);
        assertThat(status()).contains("\"to\":\"v2\"");
        assertThat(store.value("carobdoor/rollout/desk").orElse("")).contains("reason=failures");
        // A repeated order is the same roll-out.
        order(15);
        for (int i = 0; i < 100; i++) {
            node.get("/safe/after");
        }
        assertThat(newEndpoint.arrivals()).isEqualTo(exposed);
    }

    @Test
    void goodVersionIsCompletedAndGetsAllRequests() throws Exception {
        order(8);
        long ordered = System.nanoTime();
        sendUntil("completed");
        assertThat(System.nanoTime() - ordered).isLessThan(TimeUnit.SECONDS.toNanos(8));
        int before = oldEndpoint.arrivals();
        for (int i = 0; i < 100; i++) {
            assertThat(node.get("/safe/after").statusCode()).isEqualTo(200);
        }
        assertThat(oldEndpoint.arrivals()).isEqualTo(before);
    }

    @Test
    void malformedOrderIsRolledBackAndRequestsAreServed() throws Exception {
        store.put("op/rollout/desk", "{\"to\":\"v2\",\"durationS\":-1}");
        sendUntil("rolled_back");
        assertThat(node.get("/safe/a").statusCode()).isEqualTo(200);
    }
}
