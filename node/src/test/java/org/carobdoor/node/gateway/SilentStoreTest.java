package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.carobdoor.standins.gateway.BackendStandIn;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.SilencingProxy;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a node that keeps to an old configuration or to old endpoints because its
 * connections to the store have gone silent without being closed.
 */
final class SilentStoreTest {
    /** The default of the setting {@code stale_limit}. */
    private static final long STALE_LIMIT_MILLIS = 3_000;

    /** The platform's bound from the acknowledgement of a change to its effect. */
    private static final long APPLY_MILLIS = 2_000;

    private static final String NEW_KEY = "key-2";

    private StoreStandIn store;
    private CloudStandIn cloud;
    private SilencingProxy proxy;
    private BackendStandIn endpoint;
    private TestGateway node;

    @BeforeEach
    void start() throws InterruptedException {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        proxy = SilencingProxy.start(store.address());
        endpoint = BackendStandIn.start("i-1");
        endpoint.register(store, "desk", "ready");
        store.put("op/config", TestGateway.configuration(1, ""));
        node = TestGateway.start("n1", proxy.address(), cloud, TestGateway.INITIAL_RETRIES);
        TestGateway.await(node::isReady);
        TestGateway.await(() -> status(NEW_KEY) == 401);
    }

    @AfterEach
    void stop() {
        node.close();
        endpoint.close();
        proxy.close();
        cloud.close();
        store.close();
    }

    /** The watches start at the change of version 2 and are given up at different times later. */
    @ParameterizedTest
    @ValueSource(longs = {0, 300, 1_000, 2_500})
    void changeAfterTheSilenceIsAppliedInTime(long changeAfterMillis) throws InterruptedException {
        store.put("op/config", TestGateway.configuration(2, ""));
        TimeUnit.MILLISECONDS.sleep(500);
        proxy.silence();
        long silent = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(changeAfterMillis);
        store.put("op/config", withNewKey(3));
        long bound = Math.max(STALE_LIMIT_MILLIS, changeAfterMillis + APPLY_MILLIS);
        awaitUntil(silent, bound, () -> status(NEW_KEY) == 200);
    }

    @Test
    void changeLongAfterTheSilenceIsAppliedInTime() throws InterruptedException {
        store.put("op/config", TestGateway.configuration(2, ""));
        TimeUnit.MILLISECONDS.sleep(500);
        proxy.silence();
        TimeUnit.MILLISECONDS.sleep(STALE_LIMIT_MILLIS + 300);
        store.put("op/config", withNewKey(3));
        awaitUntil(System.nanoTime(), APPLY_MILLIS, () -> status(NEW_KEY) == 200);
    }

    @Test
    void leavingEndpointIsNoLongerUsed() throws InterruptedException {
        proxy.silence();
        long silent = System.nanoTime();
        endpoint.register(store, "desk", "draining");
        awaitUntil(silent, STALE_LIMIT_MILLIS, () -> status("key-1") == 503);
    }

    @Test
    void peerThatStartsAfterTheSilenceIsKnown() throws InterruptedException {
        proxy.silence();
        long silent = System.nanoTime();
        try (TestGateway second = TestGateway.start("n2", store, cloud)) {
            awaitUntil(silent, 2 * STALE_LIMIT_MILLIS, () -> node.nodeCount() == 2);
            assertThat(second.gateway()).isNotNull();
        }
    }

    private int status(String key) {
        return node.send(
                        node.request("/safe/a")
                                .setHeader("Authorization", "Bearer " + key)
                                .GET()
                                .build())
                .statusCode();
    }

    private static String withNewKey(long version) {
        return TestGateway.configuration(version, "")
                .replace("\"key-1\"", "\"key-1\",\"" + NEW_KEY + "\"");
    }

    private static void awaitUntil(long sinceNanos, long millis, BooleanSupplier condition)
            throws InterruptedException {
        long deadline = sinceNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("not within " + millis + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }
}
