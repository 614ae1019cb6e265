package org.carobdoor.internal.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.carobdoor.MemberState;
import org.carobdoor.internal.membership.SimulatedGroup.Slot;
import org.junit.jupiter.api.Test;

/**
 * Guards against groups that do not converge, undetected failures, live nodes declared dead and
 * failed rejoins under datagram loss, network partitions, pauses and restarts.
 */
final class MembershipTest {
    private static final Duration DETECTION_BOUND = Duration.ofSeconds(12);
    private static final Duration HEAL_BOUND = Duration.ofSeconds(40);

    @Test
    void groupConvergesFromSeeds() throws Exception {
        SimulatedGroup g = new SimulatedGroup(1, 20, 3);
        g.run(Duration.ofSeconds(10));
        assertConverged(g, "start");
    }

    @Test
    void deadNodeIsKnownToAllWithinTheBound() throws Exception {
        for (long seed = 0; seed < 20; seed++) {
            SimulatedGroup g = new SimulatedGroup(seed, 24, 3);
            g.run(Duration.ofSeconds(15));
            g.slots.get((int) seed).up = false;
            g.run(DETECTION_BOUND);
            assertConverged(g, "seed " + seed);
        }
    }

    @Test
    void healthyGroupWithLossDeclaresNobodyDead() throws Exception {
        for (long seed = 7; seed < 12; seed++) {
            SimulatedGroup g = new SimulatedGroup(seed, 24, 3);
            g.lossRate = 0.05;
            g.run(Duration.ofSeconds(15));
            for (int i = 0; i < 600; i++) {
                g.run(Duration.ofMillis(500));
                for (Slot s : g.slots) {
                    assertWithMessage("seed " + seed).that(dead(s)).isEmpty();
                }
            }
        }
    }

    @Test
    void nodeDeclaredDeadByMistakeRejoinsWithItsOldId() throws Exception {
        SimulatedGroup g = new SimulatedGroup(3, 12, 3);
        g.run(Duration.ofSeconds(10));
        Slot paused = g.slots.get(5);
        paused.pausedUntil = g.instant().plusSeconds(60);
        g.run(Duration.ofSeconds(30));
        assertThat(dead(g.slots.get(0))).containsExactly(paused.node.self().id().value());
        g.run(Duration.ofSeconds(30).plus(HEAL_BOUND));
        assertConverged(g, "after the pause");
    }

    @Test
    void healedPartitionIsDetectedWithoutSeeds() throws Exception {
        SimulatedGroup g = new SimulatedGroup(8, 12, 3);
        g.run(Duration.ofSeconds(10));
        g.slots.forEach(s -> s.node.setSeeds(List.of()));
        g.partitionedZones.add("zone-0");
        g.run(Duration.ofMinutes(3));
        assertThat(dead(g.slots.get(0))).hasSize(8);
        assertThat(dead(g.slots.get(1))).hasSize(4);
        g.partitionedZones.clear();
        g.run(HEAL_BOUND);
        assertConverged(g, "after the partition");
    }

    @Test
    void pausedNodeDoesNotSuspectItsPeers() throws Exception {
        for (long seed = 40; seed < 60; seed++) {
            SimulatedGroup g = new SimulatedGroup(seed, 12, 3);
            g.run(Duration.ofSeconds(10));
            g.bufferLossRate = 1;
            List<Slot> paused = g.slots.subList(0, 5);
            paused.forEach(s -> s.pausedUntil = g.instant().plusSeconds(2));
            g.run(Duration.ofSeconds(2).plusMillis(1));
            for (Slot s : paused) {
                assertWithMessage("seed " + seed)
                        .that(s.node.records().stream().map(MemberRecord::status).toList())
                        .doesNotContain(MemberStatus.SUSPECT);
            }
        }
    }

    @Test
    void lostUpdateIsRepairedByComparingDigests() throws Exception {
        SimulatedGroup g = new SimulatedGroup(9, 3, 3);
        Membership a = g.slots.get(0).node;
        Membership b = g.slots.get(1).node;
        MemberRecord c = g.slots.get(2).node.self();
        a.receive(new Datagram(c, List.of(), 0, 0, new ProbeBody.MemberList()));
        b.receive(new Datagram(a.self(), List.of(), 0, 0, new ProbeBody.MemberList()));
        g.advanceClock(Duration.ofSeconds(6));
        Datagram probe = new Datagram(a.self(), List.of(), 1, 0, new ProbeBody.MemberList());
        for (Datagram sync : sent(b.receive(probe))) {
            for (Datagram list : sent(a.receive(sync))) {
                b.receive(list);
            }
        }
        assertThat(b.records()).contains(c);
    }

    private static List<Datagram> sent(List<MembershipAction> actions) {
        return actions.stream()
                .filter(x -> x instanceof MembershipAction.Send)
                .map(x -> ((MembershipAction.Send) x).datagram())
                .toList();
    }

    @Test
    void leavingAndPlatformFlagsReachAll() throws Exception {
        SimulatedGroup g = new SimulatedGroup(5, 12, 3);
        g.run(Duration.ofSeconds(10));
        Slot s = g.slots.get(4);
        g.perform(s, s.node.leave());
        g.perform(s, s.node.setPlatformReachable(false));
        g.run(Duration.ofSeconds(10));
        for (Slot other : g.slots) {
            MemberRecord r = find(other, s);
            assertThat(r.toMember().state()).isEqualTo(MemberState.LEAVING);
            assertThat(r.platformReachable()).isFalse();
        }
        g.perform(s, s.node.stop());
        s.up = false;
        g.run(Duration.ofSeconds(6));
        assertConverged(g, "after the stop");
    }

    @Test
    void deadNodeIsForgottenAtItsDeadline() throws Exception {
        SimulatedGroup g = new SimulatedGroup(6, 6, 3);
        g.run(Duration.ofSeconds(10));
        g.slots.get(5).up = false;
        g.run(Duration.ofMinutes(30));
        assertThat(g.slots.get(0).node.records()).hasSize(6);
        g.run(Duration.ofMinutes(32));
        assertThat(g.slots.get(0).node.records()).hasSize(5);
    }

    @Test
    void groupConvergesAfterRandomFaults() throws Exception {
        for (long seed = 100; seed < 130; seed++) {
            Random random = new Random(seed);
            SimulatedGroup g = new SimulatedGroup(seed, 5 + random.nextInt(20), 3);
            for (int i = 0; i < 40; i++) {
                injectFault(g, random);
                g.run(Duration.ofMillis(random.nextInt(5000)));
            }
            g.lossRate = 0;
            g.partitionedZones.clear();
            g.run(Duration.ofSeconds(20).plus(HEAL_BOUND));
            assertConverged(g, "seed " + seed);
        }
    }

    private static void injectFault(SimulatedGroup g, Random random) {
        Slot s = g.slots.get(random.nextInt(g.slots.size()));
        switch (random.nextInt(6)) {
            case 0 -> s.up &= g.up().size() < 4;
            case 1, 2 -> g.restart(s);
            case 3 -> s.pausedUntil = g.instant().plusMillis(random.nextInt(20_000));
            case 4 -> {
                if (!g.partitionedZones.add(s.zone)) {
                    g.partitionedZones.clear();
                }
            }
            default -> g.lossRate = random.nextBoolean() ? 0 : random.nextDouble() * 0.3;
        }
    }

    private static void assertConverged(SimulatedGroup g, String what) {
        Set<String> expected = new TreeSet<>();
        g.up().forEach(s -> expected.add(s.node.self().id().value()));
        for (Slot s : g.up()) {
            Set<String> alive = new TreeSet<>();
            s.node.records().stream()
                    .filter(r -> r.status() == MemberStatus.ALIVE)
                    .forEach(r -> alive.add(r.id().value()));
            assertWithMessage("%s, view of %s", what, s.node.self().id())
                    .that(alive)
                    .isEqualTo(expected);
        }
    }

    private static List<String> dead(Slot s) {
        return s.node.records().stream()
                .filter(r -> r.status() == MemberStatus.DEAD)
                .map(r -> r.id().value())
                .toList();
    }

    private static MemberRecord find(Slot in, Slot of) {
        return in.node.records().stream()
                .filter(r -> r.id().equals(of.node.self().id()))
                .findFirst()
                .orElseThrow();
    }
}
