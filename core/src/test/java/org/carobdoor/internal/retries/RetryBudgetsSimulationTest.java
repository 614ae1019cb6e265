package org.carobdoor.internal.retries;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.IntConsumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against retries of all nodes together exceeding the shared allowance. */
final class RetryBudgetsSimulationTest {
    private static final String SERVICE = "desk";
    private static final double PER_REQUEST = 0.2;
    private static final int STEP_MILLIS = 20;
    private static final int STEPS_PER_SECOND = 1000 / STEP_MILLIS;
    private static final int WINDOW_STEPS = 10 * STEPS_PER_SECOND;
    private static final int TOTAL_STEPS = 60 * STEPS_PER_SECOND;
    private static final int FAILURES_START_STEP = 15 * STEPS_PER_SECOND;
    private static final int FAILURES_END_STEP = 45 * STEPS_PER_SECOND;

    /** Interval at which a node reads the membership list. */
    private static final int MEMBERSHIP_POLL_STEPS = 10;

    /** Nodes, fixed retries and requests per second of the largest current deployment. */
    private static final int NODES = 62;

    private static final double FIXED_RETRIES = 164;
    private static final double REQUESTS_PER_SECOND = 120;

    /** Number of nodes and requests per second of the largest cluster that the design supports. */
    private static final int LARGE_CLUSTER_NODES = 380;

    private static final double LARGE_REQUESTS_PER_SECOND = 3_400;

    private static final IntConsumer NO_MEMBERSHIP_CHANGES = step -> {};

    /**
     * A cluster whose nodes restart and learn of each other late, in front of endpoints that fail.
     */
    private static final class Cluster {
        final Random random;
        final int size;
        final RetryAllowance allowance =
                new RetryAllowance(PER_REQUEST, FIXED_RETRIES, 10_000_000_000L);
        final double requestsPerStep;
        final List<RetryBudgets> nodes = new ArrayList<>();
        final int[] startedAt;
        final int[] requests = new int[TOTAL_STEPS];
        final int[] retries = new int[TOTAL_STEPS];
        int listedNodes;
        int failures;
        double failureRate = 0.9;

        Cluster(long seed, int size, double requestsPerSecond) {
            this.random = new Random(seed);
            this.size = size;
            this.requestsPerStep = requestsPerSecond / STEPS_PER_SECOND;
            this.startedAt = new int[size];
            this.listedNodes = size;
            for (int i = 0; i < size; i++) {
                nodes.add(RetryBudgets.create(allowance, random, nanos(0)));
                nodes.get(i).setNodes(size, nanos(0));
                startedAt[i] = -TOTAL_STEPS;
            }
        }

        /** Restarts a node, which then knows no other node. */
        void restart(int node, int step) {
            nodes.set(node, RetryBudgets.create(allowance, random, nanos(step)));
            startedAt[node] = step;
        }

        /** Restarts all nodes within a second. */
        void restartAll(int step) {
            for (int i = 0; i < size; i++) {
                restart(i, step + random.nextInt(STEPS_PER_SECOND));
            }
        }

        /** Runs the whole simulation; {@code changes} may change the cluster before each step. */
        void runSimulation(IntConsumer changes) {
            for (int step = 0; step < TOTAL_STEPS; step++) {
                changes.accept(step);
                runStep(step);
            }
        }

        private void runStep(int step) {
            for (int i = 0; i < size; i++) {
                if ((step + i) % MEMBERSHIP_POLL_STEPS == 0) {
                    nodes.get(i).recordRunning(nanos(step));
                    nodes.get(i).setNodes(knownNodes(i, step), nanos(step));
                }
            }
            int arriving = (int) requestsPerStep;
            arriving += random.nextDouble() < requestsPerStep - arriving ? 1 : 0;
            boolean endpointsFail = step >= FAILURES_START_STEP && step < FAILURES_END_STEP;
            for (int r = 0; r < arriving; r++) {
                RetryBudgets node = nodes.get(random.nextInt(size));
                requests[step]++;
                node.onRequest(SERVICE, nanos(step));
                for (int attempt = 1; attempt < 3; attempt++) {
                    if (!endpointsFail || random.nextDouble() >= failureRate) {
                        break;
                    }
                    failures++;
                    if (!node.tryTake(SERVICE, nanos(step))) {
                        break;
                    }
                    retries[step]++;
                }
            }
        }

        /**
         * Returns the number of nodes that a node knows; after its start it learns of the listed
         * nodes over three seconds.
         */
        private int knownNodes(int node, int step) {
            int known = (step - startedAt[node]) * size / (3 * STEPS_PER_SECOND);
            return Math.clamp(known, 1, listedNodes);
        }

        /**
         * Checks the allowance in each window, counting the requests of that window or of one that
         * ended shortly before.
         */
        void assertWithinAllowance() {
            double worst = Double.NEGATIVE_INFINITY;
            int at = 0;
            for (int end = WINDOW_STEPS; end < TOTAL_STEPS; end++) {
                int maxRequests = 0;
                for (int back : new int[] {0, WINDOW_STEPS / 2, WINDOW_STEPS}) {
                    maxRequests = Math.max(maxRequests, sum(requests, end - back));
                }
                double excess = sum(retries, end) - PER_REQUEST * maxRequests - FIXED_RETRIES;
                if (excess > worst) {
                    worst = excess;
                    at = end;
                }
            }
            assertWithMessage(
                            "%s retries in the 10 s until %s ms; excess over the allowance",
                            sum(retries, at), at * STEP_MILLIS)
                    .that(worst)
                    .isAtMost(0.0);
        }

        private static long nanos(int step) {
            return step * STEP_MILLIS * 1_000_000L;
        }

        int totalRetries() {
            return Arrays.stream(retries).sum();
        }

        private static int sum(int[] counts, int end) {
            int sum = 0;
            for (int i = Math.max(0, end - WINDOW_STEPS); i < end; i++) {
                sum += counts[i];
            }
            return sum;
        }
    }

    private static void runWithOneFullRestart(Cluster cluster) {
        cluster.runSimulation(
                step -> {
                    if (step == 20 * STEPS_PER_SECOND) {
                        cluster.restartAll(step);
                    }
                });
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void retriesStayWithinTheBudgetWithoutChangesOfTheGroup(long seed) {
        Cluster cluster = new Cluster(seed, NODES, REQUESTS_PER_SECOND);
        cluster.runSimulation(NO_MEMBERSHIP_CHANGES);
        cluster.assertWithinAllowance();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void retriesStayWithinTheBudgetWhenAllNodesRestart(long seed) {
        Cluster cluster = new Cluster(seed, NODES, REQUESTS_PER_SECOND);
        runWithOneFullRestart(cluster);
        cluster.assertWithinAllowance();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void retriesStayWithinTheBudgetInARollingRestart(long seed) {
        Cluster cluster = new Cluster(seed, NODES, REQUESTS_PER_SECOND);
        cluster.runSimulation(
                step -> {
                    int second = step / STEPS_PER_SECOND;
                    if (step % STEPS_PER_SECOND == 0 && second >= 15 && second < 45) {
                        cluster.restart(2 * (second - 15), step);
                        cluster.restart(2 * (second - 15) + 1, step);
                    }
                });
        cluster.assertWithinAllowance();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void retriesStayWithinTheBudgetWhenTheNumberOfNodesKeepsChanging(long seed) {
        Cluster cluster = new Cluster(seed, NODES, REQUESTS_PER_SECOND);
        cluster.runSimulation(
                step -> {
                    if (step % STEPS_PER_SECOND == 0) {
                        cluster.listedNodes = NODES + cluster.random.nextInt(4);
                    }
                });
        cluster.assertWithinAllowance();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void retriesStayWithinTheBudgetWhenAllNodesRestartAgainAndAgain(long seed) {
        Cluster cluster = new Cluster(seed, NODES, REQUESTS_PER_SECOND);
        cluster.runSimulation(
                step -> {
                    if (step >= FAILURES_START_STEP && step % (3 * STEPS_PER_SECOND) == 0) {
                        cluster.restartAll(step);
                    }
                });
        cluster.assertWithinAllowance();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void retriesOfALargeGroupStayWithinTheBudgetWhenAllNodesRestart(long seed) {
        Cluster cluster = new Cluster(seed, LARGE_CLUSTER_NODES, LARGE_REQUESTS_PER_SECOND);
        runWithOneFullRestart(cluster);
        cluster.assertWithinAllowance();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void nodesOfALargeGroupRetryAlmostAllOfATenthThatFails(long seed) {
        Cluster cluster = new Cluster(seed, LARGE_CLUSTER_NODES, LARGE_REQUESTS_PER_SECOND);
        cluster.failureRate = 0.1;
        cluster.runSimulation(NO_MEMBERSHIP_CHANGES);
        cluster.assertWithinAllowance();
        assertThat(cluster.totalRetries()).isAtLeast((int) (cluster.failures * 0.9));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void nodesOfALargeGroupWithLittleTrafficCanRetry(long seed) {
        Cluster cluster = new Cluster(seed, LARGE_CLUSTER_NODES, REQUESTS_PER_SECOND);
        cluster.failureRate = 0.1;
        cluster.runSimulation(NO_MEMBERSHIP_CHANGES);
        cluster.assertWithinAllowance();
        assertThat(cluster.totalRetries()).isGreaterThan(0);
    }
}
