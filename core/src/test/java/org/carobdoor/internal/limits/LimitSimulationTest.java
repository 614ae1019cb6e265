package org.carobdoor.internal.limits;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.carobdoor.FailureKind;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.internal.InvariantViolation;
import org.carobdoor.message.AllotmentReply;
import org.carobdoor.message.AllotmentRequest;
import org.junit.jupiter.api.Test;

/**
 * Guards against use above the overshoot bound while homes move, nodes are partitioned and replies
 * are lost.
 */
final class LimitSimulationTest {
    private static final int SEEDS = 60;
    private static final int NODES = 7;
    private static final Duration STEP = Duration.ofMillis(5);

    @Test
    void useStaysWithinTheBound() {
        for (LimitKind kind : List.of(LimitKind.REQUESTS_PER_SECOND, LimitKind.TOKENS_PER_MINUTE)) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                try {
                    new Simulation(kind, seed).run(true);
                } catch (InvariantViolation e) {
                    throw new AssertionError(kind + " seed " + seed, e);
                }
            }
        }
    }

    @Test
    void nearlyAllOfTheLimitIsUsedWithoutFaults() {
        for (long seed = 1; seed <= 10; seed++) {
            Simulation simulation = new Simulation(LimitKind.REQUESTS_PER_SECOND, seed);
            simulation.run(false);
            assertWithMessage("seed %s", seed)
                    .that(simulation.maxUsed())
                    .isAtMost(simulation.limit);
            assertWithMessage("seed %s", seed)
                    .that((double) simulation.totalUsed() / simulation.windows())
                    .isGreaterThan(0.9 * simulation.limit);
        }
    }

    @Test
    void slotsStayWithinTheLimitWhileEveryNodeReachesTheHome() {
        SlotHome home = new SlotHome();
        Instant start = Instant.ofEpochSecond(1_800_000_000);
        Random random = new Random(3);
        List<SlotShare> shares = new ArrayList<>();
        int[] inFlight = new int[NODES];
        for (int i = 0; i < NODES; i++) {
            shares.add(new SlotShare());
        }
        int maxInFlight = 0;
        for (int step = 0; step < 20_000; step++) {
            Instant now = start.plusSeconds(20).plus(STEP.multipliedBy(step));
            int n = random.nextInt(NODES);
            SlotShare share = shares.get(n);
            boolean started = random.nextInt(3) > 0 && share.tryStart(40, NODES, now);
            inFlight[n] += started ? 1 : 0;
            if (!started && inFlight[n] > 0 && random.nextInt(3) == 0) {
                share.end();
                inFlight[n]--;
            }
            OptionalLong wanted = share.wanted(started ? 0 : 1, now);
            if (wanted.isPresent()) {
                AllotmentRequest request = new AllotmentRequest("l", wanted.getAsLong());
                NodeId from = new NodeId("n" + n);
                share.onReply(
                        Result.ok(home.grant(from, request, 40, start, now)),
                        wanted.getAsLong(),
                        now);
            }
            int total = 0;
            for (int count : inFlight) {
                total += count;
            }
            maxInFlight = Math.max(maxInFlight, total);
        }
        assertThat(maxInFlight).isAtMost(40);
        assertThat(maxInFlight).isAtLeast(35);
    }

    private static final class Simulation {
        final long limit;
        private final LimitKind kind;
        private final long seed;
        private final Random random;
        private final List<LimitShare> shares = new ArrayList<>();
        private final List<LimitHome> homes = new ArrayList<>();
        private final Instant[] since = new Instant[NODES];
        private final boolean[] partitioned = new boolean[NODES];
        private final Map<Instant, Long> used = new HashMap<>();
        private final Map<Instant, Set<Integer>> grantingHomes = new HashMap<>();
        private Instant now = Instant.ofEpochSecond(1_800_000_000);
        private int home;
        private int formerHome = -1;

        Simulation(LimitKind kind, long seed) {
            this.kind = kind;
            this.seed = seed;
            random = new Random(seed);
            limit = 20 + random.nextInt(2000);
            for (int i = 0; i < NODES; i++) {
                shares.add(new LimitShare(kind, now));
                homes.add(new LimitHome(kind, now));
                since[i] = now;
            }
        }

        void run(boolean faults) {
            Instant end = now.plus(kind.window().multipliedBy(8));
            Duration step = kind.window().dividedBy(200);
            while (now.plus(step).isBefore(end)) {
                now = now.plus(step);
                if (faults) {
                    injectFault();
                }
                for (int i = 0; i < 12; i++) {
                    use(random.nextInt(NODES), 1 + random.nextInt((int) limit / 200 + 1), faults);
                }
            }
            check();
        }

        private void injectFault() {
            if (random.nextInt(150) == 0) {
                // In half of the moves, the former home continues to grant to the nodes that still
                // ask it.
                formerHome = random.nextBoolean() ? home : -1;
                home = random.nextInt(NODES);
                since[home] = now;
                if (formerHome == home) {
                    formerHome = -1;
                }
            }
            if (random.nextInt(40) == 0) {
                int n = random.nextInt(NODES);
                partitioned[n] = !partitioned[n];
            }
        }

        private void use(int node, long amount, boolean faults) {
            LimitShare share = shares.get(node);
            for (int attempt = 0; attempt < 2; attempt++) {
                if (share.tryUse(amount, limit, NODES, now)) {
                    used.merge(LimitWindow.at(kind, now).begin(), amount, Long::sum);
                    return;
                }
                OptionalLong wanted = share.wanted(amount, now);
                if (wanted.isEmpty()) {
                    return;
                }
                share.onReply(ask(node, wanted.getAsLong(), faults), wanted.getAsLong(), now);
            }
        }

        private Result<AllotmentReply> ask(int node, long wanted, boolean faults) {
            if (partitioned[node]) {
                return Result.err(FailureKind.UNKNOWN, "ask", "home", "cut");
            }
            int asked = formerHome >= 0 && random.nextInt(3) == 0 ? formerHome : home;
            Set<Integer> granting =
                    grantingHomes.computeIfAbsent(
                            LimitWindow.at(kind, now).begin(), w -> new HashSet<>());
            granting.add(formerHome >= 0 ? asked : -1);
            AllotmentReply reply =
                    homes.get(asked)
                            .grant(new AllotmentRequest("l", wanted), limit, since[asked], now);
            boolean lost = faults && random.nextInt(10) == 0;
            return lost ? Result.err(FailureKind.UNKNOWN, "ask", "home", "lost") : Result.ok(reply);
        }

        private void check() {
            used.forEach(
                    (window, amount) -> {
                        int parallelHomes = grantingHomes.getOrDefault(window, Set.of(-1)).size();
                        double bound = OvershootBound.perWindow(limit, parallelHomes, NODES, NODES);
                        assertWithMessage("%s seed %s window %s", kind, seed, window)
                                .that((double) amount)
                                .isAtMost(bound);
                    });
        }

        long maxUsed() {
            return used.values().stream().mapToLong(Long::longValue).max().orElse(0);
        }

        long totalUsed() {
            return used.values().stream().mapToLong(Long::longValue).sum();
        }

        int windows() {
            return used.size();
        }
    }
}
