package org.carobdoor.bench.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import org.carobdoor.NodeId;
import org.carobdoor.bench.membership.MembershipSimulation.Node;
import org.carobdoor.internal.membership.MemberRecord;
import org.carobdoor.internal.membership.MemberStatus;

/**
 * Prints a table of the cost and the failure detection time of membership for the group sizes given
 * as arguments (10 50 100 200 380 by default). The clock is simulated; CPU time is measured.
 */
public final class MembershipScale {
    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(120);
    private static final Duration STEADY_STATE_DURATION = Duration.ofSeconds(120);
    private static final int KILLED_NODES = 5;

    private MembershipScale() {}

    /** Runs the measurement. */
    public static void main(String[] args) throws Exception {
        List<Integer> sizes =
                args.length == 0
                        ? List.of(10, 50, 100, 200, 380)
                        : Arrays.stream(args).map(Integer::valueOf).toList();
        System.out.println(
                "| nodes | start s | sent B/s | received B/s | busiest node B/s | cpu % of a core |"
                        + " heap KB | node failure: first s | all s | zone failure: all s |"
                        + " peak sent B/s | false positives at 2% loss |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|---|");
        for (int size : sizes) {
            System.out.println(measure(size));
        }
    }

    private static String measure(int size) throws Exception {
        long heapBefore = usedHeapBytes();
        MembershipSimulation simulation = new MembershipSimulation(size, size);
        double start = secondsUntilAllSee(simulation, r -> r.status() == MemberStatus.ALIVE, size);
        simulation.run(Duration.ofSeconds(60));
        long heap = (usedHeapBytes() - heapBefore) / size / 1024;

        resetCounters(simulation);
        simulation.run(STEADY_STATE_DURATION);
        double seconds = STEADY_STATE_DURATION.toSeconds();
        double sent = sumCounter(simulation, 0) / seconds / size;
        double received = sumCounter(simulation, 1) / seconds / size;
        double cpu = sumCounter(simulation, 2) / seconds / size / 1e9 * 100;
        double busiest =
                simulation.nodes().stream()
                                .mapToLong(n -> n.bytesSent + n.bytesReceived)
                                .max()
                                .orElse(0)
                        / seconds;

        long before = simulation.falsePositives();
        simulation.setLoss(0.02);
        simulation.run(STEADY_STATE_DURATION);
        long falsePositives = simulation.falsePositives() - before;
        simulation.setLoss(0);
        simulation.run(Duration.ofSeconds(30));

        double first = 0;
        double all = 0;
        for (int i = 0; i < KILLED_NODES; i++) {
            Node victim = simulation.nodes().get(size - 1 - i);
            victim.up = false;
            Instant at = simulation.instant();
            first = Math.max(first, detectionSeconds(simulation, victim, at, false));
            all = Math.max(all, detectionSeconds(simulation, victim, at, true));
            simulation.run(Duration.ofSeconds(20));
        }
        double[] zoneFailure = measureZoneFailure(simulation);
        return String.format(
                Locale.ROOT,
                "| %d | %.1f | %.0f | %.0f | %.0f | %.3f | %d | %.1f | %.1f | %.1f | %.0f | %d |",
                size,
                start,
                sent,
                received,
                busiest,
                cpu,
                heap,
                first,
                all,
                zoneFailure[0],
                zoneFailure[1],
                falsePositives);
    }

    /**
     * Fails one zone; returns the seconds until all nodes have detected it and the peak bytes sent
     * by one node in one second during that time.
     */
    private static double[] measureZoneFailure(MembershipSimulation simulation) {
        simulation.nodes().stream().filter(n -> n.zone == 0).forEach(n -> n.up = false);
        long live = simulation.nodes().stream().filter(n -> n.up).count();
        Instant at = simulation.instant();
        double peak = 0;
        while (Duration.between(at, simulation.instant()).compareTo(CONVERGENCE_TIMEOUT) < 0) {
            long[] before = simulation.nodes().stream().mapToLong(n -> n.bytesSent).toArray();
            simulation.run(Duration.ofSeconds(1));
            for (int i = 0; i < before.length; i++) {
                peak = Math.max(peak, simulation.nodes().get(i).bytesSent - before[i]);
            }
            if (simulation.nodes().stream()
                    .filter(n -> n.up)
                    .allMatch(n -> countNotDead(n) == live)) {
                break;
            }
        }
        return new double[] {Duration.between(at, simulation.instant()).toMillis() / 1e3, peak};
    }

    private static double detectionSeconds(
            MembershipSimulation simulation, Node victim, Instant at, boolean byAll) {
        NodeId id = victim.membership.self().id();
        Predicate<Node> detects =
                n ->
                        n.membership.records().stream()
                                .anyMatch(
                                        r -> r.id().equals(id) && r.status() == MemberStatus.DEAD);
        while (Duration.between(at, simulation.instant()).compareTo(CONVERGENCE_TIMEOUT) < 0) {
            boolean done =
                    byAll
                            ? simulation.nodes().stream().filter(n -> n.up).allMatch(detects)
                            : simulation.nodes().stream().filter(n -> n.up).anyMatch(detects);
            if (done) {
                break;
            }
            simulation.run(STEP);
        }
        return Duration.between(at, simulation.instant()).toMillis() / 1e3;
    }

    private static double secondsUntilAllSee(
            MembershipSimulation simulation, Predicate<MemberRecord> predicate, int count) {
        Instant at = simulation.instant();
        while (Duration.between(at, simulation.instant()).compareTo(CONVERGENCE_TIMEOUT) < 0
                && !simulation.nodes().stream()
                        .allMatch(
                                n ->
                                        n.membership.records().stream().filter(predicate).count()
                                                == count)) {
            simulation.run(STEP);
        }
        return Duration.between(at, simulation.instant()).toMillis() / 1e3;
    }

    private static long countNotDead(Node n) {
        return n.membership.records().stream().filter(r -> r.status() != MemberStatus.DEAD).count();
    }

    private static void resetCounters(MembershipSimulation simulation) {
        for (Node n : simulation.nodes()) {
            n.bytesSent = 0;
            n.bytesReceived = 0;
            n.processingNanos = 0;
        }
    }

    private static double sumCounter(MembershipSimulation simulation, int counter) {
        return simulation.nodes().stream()
                .mapToLong(
                        n ->
                                switch (counter) {
                                    case 0 -> n.bytesSent;
                                    case 1 -> n.bytesReceived;
                                    default -> n.processingNanos;
                                })
                .sum();
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(50);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
