package org.carobdoor.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.carobdoor.standins.gateway.CloudStandIn;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against changes that nodes miss which do not watch the store themselves. */
final class StoreReadersTest {
    /** The smallest cluster with readers. */
    private static final int NODES = 25;

    private static final String MODE = "carobdoor_gateway_store_mode";

    private static final int PREFIXES = 3;

    /** The nodes with fast links, which should watch for the others. */
    private static final Set<Integer> FAST = Set.of(9, 17);

    private final List<TestGateway> nodes = new ArrayList<>();

    @SuppressWarnings("NullAway.Init")
    private StoreStandIn store;

    @SuppressWarnings("NullAway.Init")
    private CloudStandIn cloud;

    @BeforeEach
    void start() throws IOException {
        store = StoreStandIn.start();
        cloud = CloudStandIn.start();
        store.put("op/config", TestGateway.configuration(1, ""));
        for (int i = 0; i < NODES; i++) {
            int link = FAST.contains(i) ? 140 : 7;
            nodes.add(TestGateway.startWithLink("n" + i, store, cloud, link));
        }
    }

    @AfterEach
    void stop() {
        nodes.forEach(TestGateway::close);
        cloud.close();
        store.close();
    }

    private long count(String mode) {
        return nodes.stream().mapToLong(n -> n.total(MODE, '"' + mode + '"')).sum() / PREFIXES;
    }

    private long calls() {
        return nodes.stream()
                .mapToLong(n -> Long.parseLong(n.metric("carobdoor_gateway_store_calls_total")))
                .sum();
    }

    private long millisUntilAllHave(long version) throws InterruptedException {
        long start = System.nanoTime();
        long before = revisions().getFirst();
        store.put("op/config", TestGateway.configuration(version, ""));
        TestGateway.await(() -> revisions().stream().allMatch(r -> r > before));
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }

    private List<Long> revisions() {
        return nodes.stream()
                .map(n -> Long.parseLong(n.metric("carobdoor_gateway_configuration_revision")))
                .toList();
    }

    @Test
    void nodesLearnOfChangesWhileReadersStop() throws Exception {
        for (TestGateway n : nodes) {
            TestGateway.await(n::isReady);
        }
        TestGateway.await(() -> count("reading") == 2 && count("served") == NODES - 2);
        for (int i = 0; i < NODES; i++) {
            assertThat(nodes.get(i).total(MODE, "reading") > 0).isEqualTo(FAST.contains(i));
        }

        long before = calls();
        TimeUnit.SECONDS.sleep(4);
        assertThat((calls() - before) / 4.0 / NODES).isLessThan(1.0);
        assertThat(millisUntilAllHave(2)).isAtMost(2_000);

        List<TestGateway> readers =
                nodes.stream().filter(n -> n.total(MODE, "reading") == PREFIXES).toList();
        nodes.removeAll(readers);
        readers.forEach(TestGateway::close);
        assertThat(millisUntilAllHave(3)).isAtMost(2_000);
        assertThat(nodes.stream().allMatch(TestGateway::isReady)).isTrue();
    }
}
