package org.carobdoor.node.replica;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.carobdoor.Bytes;
import org.carobdoor.NodeId;
import org.carobdoor.message.ReplicaItem;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes that do not reach every node within seconds and against revisions that go
 * down.
 */
final class ReplicaServiceTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Test
    void changeReachesAllNodesOfSevenZones() {
        try (TestCluster c = new TestCluster(21, 7)) {
            c.awaitMembers();
            assertThat(c.nodes.stream().filter(n -> n.service.isWatcher()).count()).isEqualTo(14);
            c.awaitRevision("entry/bids", c.write("bids"), TIMEOUT);
            c.awaitRevision("entry/bids", c.write("bids"), TIMEOUT);
        }
    }

    @Test
    void lostPushIsRepairedByDigest() {
        try (TestCluster c = new TestCluster(21, 3)) {
            c.awaitMembers();
            c.nodes.forEach(n -> n.losesPushes = true);
            c.awaitRevision("entry/bids", c.write("bids"), TIMEOUT);
        }
    }

    @Test
    void zoneThatWasCutOffCatchesUpAndRevisionsNeverGoDown() throws Exception {
        try (TestCluster c = new TestCluster(21, 3)) {
            c.awaitMembers();
            AtomicBoolean done = new AtomicBoolean();
            Map<NodeId, Long> highest = new ConcurrentHashMap<>();
            List<String> reversals = new java.util.concurrent.CopyOnWriteArrayList<>();
            Thread reader =
                    Thread.startVirtualThread(
                            () -> {
                                while (!done.get()) {
                                    c.nodes.forEach(n -> observe(n, highest, reversals));
                                    Thread.yield();
                                }
                            });
            c.awaitRevision("entry/bids", c.write("bids"), TIMEOUT);
            c.isolate("zone-1");
            for (int i = 0; i < 20; i++) {
                c.write("bids");
                Thread.sleep(50);
            }
            long last = c.write("bids");
            TestCluster.await(
                    "the other zones have the last revision",
                    TIMEOUT,
                    () ->
                            c.nodesIn("zone-2").stream()
                                    .allMatch(n -> n.revision("entry/bids") == last));
            assertThat(c.nodesIn("zone-1").getFirst().revision("entry/bids")).isEqualTo(1);
            c.reconnect();
            c.awaitRevision("entry/bids", last, Duration.ofSeconds(15));
            done.set(true);
            reader.join();
            assertThat(reversals).isEmpty();
        }
    }

    private static void observe(TestNode n, Map<NodeId, Long> highest, List<String> reversals) {
        long now = n.revision("entry/bids");
        Long before = highest.put(n.id, now);
        if (before != null && now < before) {
            reversals.add(n.id + ": " + before + " -> " + now);
        }
    }

    @Test
    void zoneWhoseWatchesHangHearsOfChangesFromOthers() {
        try (TestCluster c = new TestCluster(9, 3)) {
            c.awaitMembers();
            c.nodesIn("zone-0").forEach(n -> n.store.watchFault = TestStore.WatchFault.HANGS);
            c.nodes.forEach(n -> n.losesPulls = true);
            c.awaitRevision("entry/bids", c.write("bids"), TIMEOUT);
        }
    }

    @Test
    void watchesThatHangAreNoticed() {
        try (TestCluster c = new TestCluster(3, 1)) {
            c.awaitMembers();
            c.nodes.forEach(n -> n.store.watchFault = TestStore.WatchFault.HANGS);
            c.awaitRevision("entry/bids", c.write("bids"), TIMEOUT);
            assertThat(c.nodes.stream().mapToLong(n -> n.service.abandonedCalls()).sum())
                    .isGreaterThan(0);
        }
    }

    @Test
    void watchesThatReportNothingAreNoticed() {
        try (TestCluster c = new TestCluster(3, 1)) {
            c.awaitMembers();
            c.nodes.forEach(n -> n.store.watchFault = TestStore.WatchFault.EMPTY);
            c.awaitRevision("entry/bids", c.write("bids"), Duration.ofSeconds(10));
            assertThat(c.nodes.stream().mapToLong(n -> n.service.missedChanges()).sum())
                    .isGreaterThan(0);
        }
    }

    @Test
    void nodeThatStartsDuringAnOutageTakesTheCatalogueFromPeers() {
        try (TestCluster c = new TestCluster(5, 2)) {
            c.awaitMembers();
            c.awaitRevision("entry/bids", c.write("bids"), TIMEOUT);
            c.store.setDown(true);
            TestNode late = c.add("late", "zone-1");
            TestCluster.await("the late node is loaded", TIMEOUT, late.service::isLoaded);
            assertThat(late.revision("entry/bids")).isEqualTo(1);
        }
    }

    @Test
    void platformOutageIsReportedAndItsEndToo() {
        try (TestCluster c = new TestCluster(3, 1)) {
            c.awaitMembers();
            c.store.setDown(true);
            TestCluster.await(
                    "all nodes report the outage",
                    Duration.ofSeconds(10),
                    () -> c.nodes.stream().noneMatch(n -> n.membership.self().platformReachable()));
            c.store.setDown(false);
            TestCluster.await(
                    "all nodes report the end",
                    Duration.ofSeconds(10),
                    () -> c.nodes.stream().allMatch(n -> n.membership.self().platformReachable()));
        }
    }

    @Test
    void proposedEndpointRecordReachesAllZones() {
        try (TestCluster c = new TestCluster(15, 3)) {
            c.awaitMembers();
            TestNode proposer =
                    c.nodes.stream().filter(n -> !n.service.isWatcher()).findFirst().orElseThrow();
            Bytes value = Bytes.utf8("{}");
            proposer.service.propose(List.of(new ReplicaItem("endpoint/vm", 6, false, value)));
            c.awaitRevision("endpoint/vm", 6, TIMEOUT);
            c.nodes
                    .get(3)
                    .service
                    .propose(List.of(new ReplicaItem("endpoint/vm", 4, false, value)));
            assertThat(c.nodes.get(3).revision("endpoint/vm")).isEqualTo(6);
        }
    }

    @Test
    void nodeThatLeavesIsSeenAsLeavingAndThenDead() {
        try (TestCluster c = new TestCluster(6, 3)) {
            c.awaitMembers();
            TestNode leavingNode = c.nodes.get(4);
            leavingNode.membership.leave();
            TestCluster.await(
                    "the others no longer list it as live",
                    TIMEOUT,
                    () ->
                            c.nodes.stream()
                                    .filter(n -> n != leavingNode)
                                    .allMatch(n -> n.membership.live().size() == 5));
            leavingNode.close();
            TestCluster.await(
                    "the others regard it as dead",
                    TIMEOUT,
                    () ->
                            c.nodes.stream()
                                    .filter(n -> n != leavingNode)
                                    .allMatch(n -> isDead(n, leavingNode.id)));
        }
    }

    private static boolean isDead(TestNode at, NodeId id) {
        return at.membership.find(id).orElseThrow().state() == org.carobdoor.MemberState.DEAD;
    }
}
