package org.carobdoor.internal.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.carobdoor.internal.deployment.QuotaLimit;
import org.carobdoor.internal.peers.StatusInterval;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against refusing requests of an account within its quota because each of many nodes has a
 * small part of it, and against granting more than the quota when the account then sends nine times
 * as much.
 */
final class QuotaPoolSimulationTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long STEP = SECOND / 100;
    private static final long WINDOW = 8 * SECOND;
    private static final int ZONES = 3;

    /** A status is held by up to this many relays, each for an interval. */
    private static final int RELAYS = 2;

    private static final double TOLERANCE = 0.07;

    /** What the operator allows beyond a quota: a tenth of it, and these units. */
    private static final double ALLOWED_SHARE = 1.1;

    private static final double ALLOWED_UNITS = 140_000;
    private static final QuotaPool POOL = new QuotaPool(0.5, ALLOWED_UNITS / 8);
    private static final long BURST_START = 28 * SECOND;
    private static final long END = 36 * SECOND;
    private static final double BURST = 9;

    /** The limit of an account is this multiple of what it usually sends. */
    private static final double LIMIT_FACTOR = 1.8;

    /** A report on its way. */
    private record Report(long arrives, int from, double granted) {}

    @ParameterizedTest
    @CsvSource({"132, 300000", "132, 60000", "132, 15000", "380, 60000"})
    void requestsWithinTheQuotaAreGrantedAndABurstStaysWithinIt(int nodes, double perSecond) {
        Simulation old = new Simulation(1, nodes, QuotaPool.NONE, perSecond).run();
        Simulation pooled = new Simulation(1, nodes, POOL, perSecond).run();
        System.out.printf(
                "quota pool: %d nodes, %.0f units/s: refused %d of %d, largest tenth %d of %d"
                        + " (without a pool %d and %d); most in a window %.2f of the bound"
                        + " (%.2f)%n",
                nodes,
                perSecond,
                pooled.refused,
                pooled.asked,
                pooled.largeRefused,
                pooled.largeAsked,
                old.refused,
                old.largeRefused,
                pooled.shareOfBound(),
                old.shareOfBound());
        assertThat(pooled.refused * 500L).isAtMost(pooled.asked);
        assertThat(pooled.shareOfBound()).isAtMost(1.0);
    }

    /** The quotas of one account at all nodes. */
    private static final class Simulation {
        private final Random random;
        private final int nodes;
        private final QuotaPool pool;
        private final double perSecond;
        private final List<AccountQuota> quotas = new ArrayList<>();
        private final Deque<Report> reports = new ArrayDeque<>();
        private final List<double[]> grants = new ArrayList<>();
        private int asked;
        private int refused;
        private int largeAsked;
        private int largeRefused;

        private Simulation(long seed, int nodes, QuotaPool pool, double perSecond) {
            this.random = new Random(seed);
            this.nodes = nodes;
            this.pool = pool;
            this.perSecond = perSecond;
        }

        private double shareOfBound() {
            QuotaLimit limit = limit();
            double bound =
                    (limit.perSecond() * WINDOW / SECOND + limit.burst()) * ALLOWED_SHARE
                            + ALLOWED_UNITS;
            double most = 0;
            int first = 0;
            double sum = 0;
            for (double[] g : grants) {
                sum += g[1];
                while (g[0] - grants.get(first)[0] > WINDOW) {
                    sum -= grants.get(first++)[1];
                }
                most = Math.max(most, sum);
            }
            return most / bound;
        }

        private QuotaLimit limit() {
            double limited = perSecond * LIMIT_FACTOR;
            return new QuotaLimit((long) limited, (long) limited, true, 200);
        }

        private Simulation run() {
            for (int i = 0; i < nodes; i++) {
                AccountQuota q = AccountQuota.create(limit(), TOLERANCE, WINDOW, random, 0);
                q.setNodes(nodes, 0);
                q.setPools(pool, 1.0 / ZONES);
                quotas.add(q);
            }
            long interval = StatusInterval.sendNanos(nodes);
            long reportSteps = Math.max(1, interval / STEP);
            for (long k = 0; k * STEP < END; k++) {
                long t = k * STEP;
                for (int from = 0; from < nodes; from++) {
                    if ((k + from * 31L) % reportSteps == 0) {
                        reports.add(
                                new Report(
                                        t + RELAYS * interval,
                                        from,
                                        quotas.get(from).grantedHere()));
                    }
                }
                while (!reports.isEmpty() && reports.peek().arrives <= t) {
                    deliver(reports.poll(), t);
                }
                // The use that is assumed at the start expires first.
                if (t > 10 * SECOND) {
                    send(t, t < BURST_START ? 1 : BURST);
                }
            }
            return this;
        }

        private void deliver(Report r, long t) {
            for (int to = 0; to < nodes; to++) {
                if (to != r.from) {
                    quotas.get(to).applyNodeUse("n" + r.from, r.granted, List.of(), t > WINDOW, t);
                }
            }
        }

        private void send(long t, double factor) {
            double budget = perSecond * factor * STEP / SECOND;
            for (double sent = 0; sent < budget; ) {
                boolean isLong = random.nextDouble() < 0.2;
                double units =
                        isLong ? Math.min(64_000, 4_000 + random.nextExponential() * 8_000) : 2_400;
                sent += units;
                if (sent > budget && random.nextDouble() > (units - (sent - budget)) / units) {
                    // Sends the last request with the probability that keeps the rate.
                    return;
                }
                boolean granted = isGranted(random.nextInt(nodes), units, t);
                if (granted) {
                    grants.add(new double[] {t, units});
                }
                if (factor == 1) {
                    count(units, granted);
                }
            }
        }

        private boolean isGranted(int node, double units, long t) {
            AccountQuota q = quotas.get(node);
            return switch (q.tryTake(units, t)) {
                case QuotaDecision.Granted g -> true;
                case QuotaDecision.Exceeded e -> false;
                case QuotaDecision.PartExceeded e -> {
                    // The first nodes are the lenders of the zones.
                    boolean lent = quotas.get(node % ZONES).tryLend(units, t);
                    if (lent) {
                        q.borrowed(units, t);
                    }
                    yield lent;
                }
            };
        }

        private void count(double units, boolean granted) {
            asked++;
            refused += granted ? 0 : 1;
            if (units > 16_000) {
                largeAsked++;
                largeRefused += granted ? 0 : 1;
            }
        }
    }
}
