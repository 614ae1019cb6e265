package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.carobdoor.standins.gateway.BackendStandIn;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.Test;

/** Guards against nodes that go back, or stop, with a store that comes back from an older copy. */
final class StoreFromCopyTest {
    private static final String NEW_ROUTE =
            ",{\"name\":\"new\",\"host\":\"127.0.0.1\",\"prefix\":\"/new/\","
                    + "\"kind\":\"safe\",\"service\":\"desk\",\"maxAttempts\":1}";
    private static final long REGISTER_LIMIT_MILLIS = 2_000;
    private static final String QUARANTINE_KEY = "carobdoor/quarantine/part-91bd3f06";

    private static long era(TestGateway node) {
        return Long.parseLong(node.metric("carobdoor_gateway_store_era"));
    }

    private static long lastFence(CloudStandIn cloud) {
        return cloud.calls().isEmpty() ? 0 : cloud.calls().getLast().fence();
    }

    private static void returnFromCopy(StoreStandIn store) throws InterruptedException {
        store.setDown(true);
        TimeUnit.MILLISECONDS.sleep(300);
        store.returnFromCopy();
        store.setDown(false);
    }

    @Test
    void nodesServeOnAndWriteAgainWhatIsLost() throws InterruptedException {
        try (StoreStandIn store = StoreStandIn.start();
                CloudStandIn cloud = CloudStandIn.start();
                BackendStandIn endpoint = BackendStandIn.start("i-1");
                BackendStandIn late = BackendStandIn.start("i-2")) {
            store.setEra(1);
            endpoint.register(store, "desk", "ready");
            store.put("op/config", TestGateway.configuration(1, ""));
            store.takeCopy();
            try (TestGateway first = TestGateway.start("n1", store, cloud);
                    TestGateway second = TestGateway.start("n2", store, cloud)) {
                List<TestGateway> nodes = List.of(first, second);
                TestGateway.await(() -> first.isReady() && second.isReady());
                TestGateway.await(() -> first.nodeCount() == 2 && second.nodeCount() == 2);
                late.register(store, "desk", "ready");
                store.put(
                        QUARANTINE_KEY,
                        String.format(
                                "since=%1$d by=n1 crashes=3 trials=1 next_trial=%2$d"
                                        + " requested=%1$d",
                                System.currentTimeMillis(),
                                System.currentTimeMillis() + 3_600_000));
                store.put("op/config", TestGateway.configuration(2, NEW_ROUTE));
                TestGateway.await(
                        () -> {
                            nodes.forEach(n -> n.get("/safe/a"));
                            return first.get("/new/a").statusCode() == 200
                                    && second.get("/new/a").statusCode() == 200
                                    && cloud.calls().size() >= 2;
                        });
                for (int era = 2; era <= 3; era++) {
                    long number = era;
                    long fence = lastFence(cloud);
                    returnFromCopy(store);
                    TestGateway.await(
                            () -> {
                                nodes.forEach(StoreFromCopyTest::assertServes);
                                return era(first) == number && era(second) == number;
                            });
                    // Long before the next renewals of the nodes' leases, which are lost.
                    TimeUnit.MILLISECONDS.sleep(REGISTER_LIMIT_MILLIS);
                    assertThat(store.keys("carobdoor/nodes/")).hasSize(2);
                    store.rewriteForeignKeys();
                    TestGateway.await(
                            () -> {
                                nodes.forEach(StoreFromCopyTest::assertServes);
                                return lastFence(cloud) > fence
                                        && store.value(QUARANTINE_KEY).isPresent();
                            });
                }
                assertThat(store.value(QUARANTINE_KEY).orElseThrow()).contains("trials=1");
                assertThat(first.nodeCount()).isEqualTo(2);
            }
            assertReportsAreConsistent(cloud.calls());
        }
    }

    private static void assertServes(TestGateway node) {
        assertThat(node.get("/safe/a").statusCode()).isEqualTo(200);
        // Only the later configuration has this route.
        assertThat(node.get("/new/a").statusCode()).isEqualTo(200);
    }

    private static void assertReportsAreConsistent(List<CloudStandIn.Call> calls) {
        Map<Long, TreeSet<String>> holders =
                calls.stream()
                        .collect(
                                Collectors.groupingBy(
                                        CloudStandIn.Call::fence,
                                        Collectors.mapping(
                                                CloudStandIn.Call::holder,
                                                Collectors.toCollection(TreeSet::new))));
        holders.forEach((fence, names) -> assertWithMessage("" + fence).that(names).hasSize(1));
        Map<String, TreeSet<String>> bodies =
                calls.stream()
                        .map(CloudStandIn.Call::body)
                        .collect(
                                Collectors.groupingBy(
                                        body -> body.split(",", 2)[0],
                                        Collectors.toCollection(TreeSet::new)));
        bodies.forEach((window, sent) -> assertWithMessage(window).that(sent).hasSize(1));
    }
}
