package org.carobdoor.internal.retries;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntConsumer;
import org.carobdoor.internal.peers.NodeCensus;
import org.carobdoor.internal.peers.PeerRuns;
import org.carobdoor.message.NodeStatus;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against retries beyond the shared allowance when nodes that learn of each other from the
 * store and from statuses are killed, frozen and cut off while endpoints fail.
 */
final class RetryMembershipSimulationTest {
    private static final String SERVICE = "desk";
    private static final double PER_REQUEST = 0.2;
    private static final int STEP_MILLIS = 20;
    private static final int SECOND = 1000 / STEP_MILLIS;
    private static final int WINDOW = 10 * SECOND;
    private static final int TOTAL = 60 * SECOND;
    private static final int FAILURES_START = 14 * SECOND;
    private static final int FAILURES_END = 50 * SECOND;
    private static final int LEASE = 12 * SECOND;
    private static final int RENEWAL = 9 * SECOND / 2;
    private static final int RETRY = SECOND / 2;
    private static final int STATUS_INTERVAL = SECOND / 5;
    private static final int TICK = SECOND / 5;

    /** Largest delay of a change in the store until a node that watches it knows of it. */
    private static final int MAX_WATCH_DELAY = SECOND / 2;

    private static final double FAILURE_RATE = 0.9;

    private enum Fault {
        KILL_ALL,
        KILL_SOME,
        RESTART_IN_TURN,
        FREEZE_SOME,
        STORE_DOWN,
        STORE_AWAY_FOR_SOME,
        CUT_OFF_SOME,
        STATUSES_LOST
    }

    /** A node with its views of the store and of the other nodes. */
    private static final class Node {
        final String name;
        String run = "";
        int restartAt = -1;
        int downUntil;
        int frozenUntil;
        int cutUntil;
        int storeAwayUntil;
        int registerAt;
        int renewAt;
        int listAt;
        boolean listed;
        final Deque<Integer> waiting = new ArrayDeque<>();
        PeerRuns runs = PeerRuns.create("");
        NodeCensus census = NodeCensus.create(true);
        @Nullable RetryBudgets budgets;
        final Map<String, Integer> seenEntries = new HashMap<>();

        Node(String name) {
            this.name = name;
        }

        boolean isRunning(int step) {
            return step >= downUntil && step >= frozenUntil;
        }
    }

    private record Entry(int writtenAt, int expiresAt, long revision) {}

    /** A cluster with its store, in front of endpoints that fail. */
    private static final class Cluster {
        final Random random;
        final RetryAllowance allowance;
        final double requestsPerStep;
        final List<Node> nodes = new ArrayList<>();
        final Map<String, Entry> store = new HashMap<>();
        final int[] requests = new int[TOTAL];
        final int[] retries = new int[TOTAL];
        int storeDownUntil;
        int statusesLostUntil;
        boolean leasesPause;
        int minNodes = Integer.MAX_VALUE;
        long revision = 1;
        int runNumber;

        Cluster(long seed, int size, double fixedRetries, double requestsPerSecond) {
            random = new Random(seed);
            allowance = new RetryAllowance(PER_REQUEST, fixedRetries, 10_000_000_000L);
            requestsPerStep = requestsPerSecond / SECOND;
            for (int i = 0; i < size; i++) {
                Node n = new Node("n" + i);
                nodes.add(n);
                start(n, random.nextInt(SECOND));
            }
        }

        void start(Node n, int step) {
            n.run = NodeStatus.runOf(n.name, ++runNumber);
            n.downUntil = step;
            n.frozenUntil = 0;
            n.listed = false;
            n.listAt = step + 1;
            n.registerAt = step + 1;
            n.renewAt = Integer.MAX_VALUE;
            n.runs = PeerRuns.create(n.run);
            n.census = NodeCensus.create(step <= SECOND);
            n.budgets = null;
            n.waiting.clear();
            n.seenEntries.clear();
        }

        /** Runs the whole simulation; {@code faults} may add faults before each step. */
        void runSimulation(IntConsumer faults) {
            for (int step = 0; step < TOTAL; step++) {
                faults.accept(step);
                expireLeases(step);
                for (Node n : nodes) {
                    if (step == n.restartAt) {
                        start(n, step + SECOND / 2);
                    }
                    if (n.isRunning(step)) {
                        callStore(n, step);
                        exchangeStatuses(n, step);
                        tick(n, step);
                    }
                }
                takeRequests(step);
            }
        }

        void addRandomFault(int step) {
            if (step < FAILURES_START || random.nextInt(2 * SECOND) != 0) {
                return;
            }
            Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
            int length = SECOND + random.nextInt(6 * SECOND);
            double share = 0.1 + 0.5 * random.nextDouble();
            switch (fault) {
                case KILL_ALL -> nodes.forEach(n -> start(n, step + random.nextInt(SECOND)));
                case RESTART_IN_TURN -> {
                    for (int i = 0; i < nodes.size(); i++) {
                        nodes.get(i).restartAt = step + i * SECOND * 7 / nodes.size();
                    }
                }
                case STORE_DOWN -> {
                    storeDownUntil = step + 2 * length;
                    leasesPause = random.nextBoolean();
                }
                case STATUSES_LOST -> statusesLostUntil = step + length;
                default -> {
                    for (Node n : nodes) {
                        if (random.nextDouble() < share) {
                            harm(n, fault, step, length);
                        }
                    }
                }
            }
        }

        private void harm(Node n, Fault fault, int step, int length) {
            switch (fault) {
                case KILL_SOME -> start(n, step + length / 3);
                case FREEZE_SOME -> n.frozenUntil = step + length;
                case STORE_AWAY_FOR_SOME -> n.storeAwayUntil = step + 2 * length;
                case CUT_OFF_SOME -> n.cutUntil = step + length;
                default -> throw new IllegalArgumentException(fault.name());
            }
        }

        private boolean reachesStore(Node n, int step) {
            return step >= storeDownUntil && step >= n.storeAwayUntil && step >= n.cutUntil;
        }

        private void expireLeases(int step) {
            if (step >= storeDownUntil || !leasesPause) {
                store.values().removeIf(e -> e.expiresAt <= step);
            }
        }

        private void callStore(Node n, int step) {
            if (step >= n.registerAt) {
                n.registerAt = step + RETRY;
                if (reachesStore(n, step)) {
                    store.put(n.run, new Entry(step, step + LEASE, ++revision));
                    n.registerAt = Integer.MAX_VALUE;
                    n.renewAt = step + RENEWAL;
                }
            }
            if (step >= n.renewAt) {
                n.renewAt = step + RETRY;
                if (reachesStore(n, step)) {
                    Entry e = store.get(n.run);
                    if (e == null) {
                        n.registerAt = step;
                        n.renewAt = Integer.MAX_VALUE;
                    } else {
                        store.put(n.run, new Entry(e.writtenAt, step + LEASE, e.revision));
                        n.renewAt = step + RENEWAL;
                        n.census.recordRenewed();
                    }
                }
            }
            if (step >= n.listAt && reachesStore(n, step)) {
                n.listed = true;
                n.listAt = step + 1 + random.nextInt(MAX_WATCH_DELAY);
                n.seenEntries.clear();
                store.forEach(
                        (run, e) -> {
                            n.seenEntries.put(run, e.expiresAt);
                            n.runs.listed(run, e.revision);
                        });
                n.runs.listedExactly(Set.copyOf(store.keySet()));
            }
        }

        private void exchangeStatuses(Node n, int step) {
            if ((step + nodes.indexOf(n)) % STATUS_INTERVAL != 0 || step < n.cutUntil) {
                return;
            }
            for (Node other : nodes) {
                boolean lost =
                        other == n
                                || !other.isRunning(step)
                                || step < other.cutUntil
                                || (step < statusesLostUntil && random.nextDouble() < 0.9);
                if (!lost && n.seenEntries.containsKey(other.run)) {
                    other.runs.heard(n.run, null, nanos(step));
                }
            }
            n.runs.removeEnded(nanos(step));
        }

        private void tick(Node n, int step) {
            if (!n.listed || (step + nodes.indexOf(n)) % TICK != 0) {
                return;
            }
            int count = n.census.count(n.runs.nodeNames(), nanos(step));
            if (n.budgets == null) {
                n.budgets = RetryBudgets.create(allowance, random, nanos(n.downUntil));
            }
            n.budgets.recordRunning(nanos(step));
            if (n.census.isComplete()) {
                n.budgets.setNodes(count, nanos(step));
            }
            if (step > FAILURES_START) {
                minNodes = Math.min(minNodes, count);
            }
        }

        private void takeRequests(int step) {
            int arriving = (int) requestsPerStep;
            arriving += random.nextDouble() < requestsPerStep - arriving ? 1 : 0;
            requests[step] += arriving;
            for (int r = 0; r < arriving; r++) {
                nodes.get(random.nextInt(nodes.size())).waiting.add(step);
            }
            for (Node n : nodes) {
                RetryBudgets budgets = n.budgets;
                if (step < n.downUntil || (budgets == null && n.isRunning(step))) {
                    n.waiting.clear();
                } else if (n.isRunning(step) && budgets != null) {
                    for (int sentAt : n.waiting) {
                        forward(budgets, step - sentAt > SECOND, step);
                    }
                    n.waiting.clear();
                }
            }
        }

        /**
         * Forwards a request, which its caller has abandoned if it was not read within a second.
         */
        private void forward(RetryBudgets budgets, boolean abandoned, int step) {
            budgets.onRequest(SERVICE, nanos(step));
            boolean endpointsFail = !abandoned && step >= FAILURES_START && step < FAILURES_END;
            for (int attempt = 1; attempt < 3; attempt++) {
                if (!endpointsFail
                        || random.nextDouble() >= FAILURE_RATE
                        || !budgets.tryTake(SERVICE, nanos(step))) {
                    return;
                }
                retries[step]++;
            }
        }

        /** Returns the largest excess of retries over the allowance of a window. */
        double worstExcess() {
            double worst = Double.NEGATIVE_INFINITY;
            for (int end = WINDOW; end < TOTAL; end++) {
                int most = 0;
                for (int back : new int[] {0, WINDOW / 2, WINDOW}) {
                    most = Math.max(most, sum(requests, end - back));
                }
                double allowed = allowance.perRequest() * most + allowance.fixed();
                worst = Math.max(worst, sum(retries, end) - allowed);
            }
            return worst;
        }

        private static int sum(int[] counts, int end) {
            int sum = 0;
            for (int i = Math.max(0, end - WINDOW); i < end; i++) {
                sum += counts[i];
            }
            return sum;
        }

        private static long nanos(int step) {
            return step * STEP_MILLIS * 1_000_000L;
        }
    }

    @ParameterizedTest
    @CsvSource({"7, 54, 77, 50", "7, 54, 27, 50", "62, 164, 120, 5"})
    void retriesStayWithinTheBudgetDuringFaultsOfNodesAndStore(
            int size, double fixedRetries, double requestsPerSecond, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            Cluster cluster = new Cluster(seed, size, fixedRetries, requestsPerSecond);
            cluster.runSimulation(cluster::addRandomFault);
            double worst = cluster.worstExcess();
            assertWithMessage("excess over the allowance, seed %s", seed).that(worst).isAtMost(0.0);
        }
    }

    @Test
    void restartedNodesThatReadAnEmptyListDoNotEachTakeTheWholeBudget() {
        Cluster cluster = new Cluster(1, 7, 54, 27);
        cluster.runSimulation(
                step -> {
                    if (step == FAILURES_START) {
                        cluster.storeDownUntil = 30 * SECOND;
                    } else if (step == 20 * SECOND) {
                        cluster.nodes.forEach(n -> cluster.start(n, step + SECOND));
                    } else if (step == 30 * SECOND + 2) {
                        cluster.storeDownUntil = 50 * SECOND;
                    }
                });
        assertThat(cluster.worstExcess()).isAtMost(0.0);
    }

    @ParameterizedTest
    @ValueSource(longs = {58, 506, 808, 871, 1629})
    void retriesStayWithinTheBudgetAfterNodesWereFrozen(long seed) {
        Cluster cluster = new Cluster(seed, 7, 54, 77);
        cluster.runSimulation(cluster::addRandomFault);
        assertThat(cluster.worstExcess()).isAtMost(0.0);
    }
}
