package org.carobdoor.internal.peers;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.message.NodeStatus;
import org.junit.jupiter.api.Test;

/** Guards against zones without readers, and nodes that none or too many of them serve. */
final class StoreReaderPlanTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");

    private static List<String> runs(int count) {
        List<String> runs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            runs.add(NodeStatus.runOf("front-" + i, 1));
        }
        return runs;
    }

    private static RelayPlan.Peer peer(String run) {
        return new RelayPlan.Peer(run, ZONE, 0);
    }

    private static List<RelayPlan.Peer> peers(List<String> runs) {
        return runs.stream().map(StoreReaderPlanTest::peer).toList();
    }

    private static StoreReaderPlan plan(String run, List<String> others, Set<String> silent) {
        return StoreReaderPlan.inZone(peer(run), peers(others), silent);
    }

    private static void assertServed(List<String> live, Set<String> silent) {
        List<String> all = new ArrayList<>(live);
        all.addAll(silent);
        int readers = 0;
        List<String> served = new ArrayList<>();
        for (String run : live) {
            StoreReaderPlan plan = plan(run, all, silent);
            readers += plan.reader() ? 1 : 0;
            served.addAll(plan.served());
            if (plan.reader()) {
                Set<String> told = new HashSet<>(plan.served());
                told.addAll(plan.informed());
                assertThat(told).hasSize(all.size() - 1);
                if (live.size() > 9) {
                    assertThat(RelayPlan.relaysOf(peers(all))).doesNotContain(peer(run));
                }
                assertThat(plan.served().size()).isAtMost((all.size() + 1) / 2);
            }
        }
        assertThat(readers).isEqualTo(Math.min(2, live.size()));
        assertThat(served).containsNoDuplicates();
        assertThat(served).hasSize(all.size() - readers);
    }

    @Test
    void twoReadersTellAllNodesAndShareTheItems() {
        for (int count : new int[] {1, 2, 3, 9, 46}) {
            assertServed(runs(count), Set.of());
        }
    }

    @Test
    void silentReadersAreReplaced() {
        List<String> live = new ArrayList<>(runs(44));
        Set<String> silent = new HashSet<>();
        for (String run : runs(44)) {
            if (plan(run, runs(44), Set.of()).reader()) {
                live.remove(run);
                silent.add(run);
            }
        }
        assertThat(silent).hasSize(2);
        assertServed(live, silent);
    }

    @Test
    void nodesWithFastLinksAreReaders() {
        List<RelayPlan.Peer> fast =
                runs(2).stream().map(run -> new RelayPlan.Peer(run, ZONE, 140)).toList();
        List<RelayPlan.Peer> zone = new ArrayList<>(fast);
        runs(15).subList(2, 15).forEach(run -> zone.add(new RelayPlan.Peer(run, ZONE, 7)));
        for (RelayPlan.Peer own : zone) {
            assertThat(StoreReaderPlan.inZone(own, zone, Set.of()).reader())
                    .isEqualTo(fast.contains(own));
        }
        Set<String> silent = Set.of(fast.get(0).run(), fast.get(1).run());
        List<RelayPlan.Peer> live = zone.subList(2, 15);
        assertThat(live.stream().filter(p -> isReader(p, zone, silent)).count()).isEqualTo(2);
    }

    private static boolean isReader(
            RelayPlan.Peer own, List<RelayPlan.Peer> zone, Set<String> silent) {
        return StoreReaderPlan.inZone(own, zone, silent).reader();
    }

    @Test
    void smallClustersHaveNoReaders() {
        List<RelayPlan.Peer> others = peers(runs(24));
        assertThat(StoreReaderPlan.of(peer("own@1"), others, Set.of()).relayed()).isTrue();
        assertThat(StoreReaderPlan.of(peer("own@1"), others.subList(1, 24), Set.of()))
                .isEqualTo(StoreReaderPlan.NONE);
    }
}
