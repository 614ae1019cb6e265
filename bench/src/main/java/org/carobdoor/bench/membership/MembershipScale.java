package org.carobdoor.bench.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import org.carobdoor.NodeId;
import org.carobdoor.bench.membership.SimulatedMembers.Node;
import org.carobdoor.internal.membership.MemberRecord;
import org.carobdoor.internal.membership.MemberStatus;

/**
 * Prints a table of what membership costs and how fast it detects, for the group sizes given as
 * arguments (10 50 100 200 380 by default). The clock is simulated; processor time is measured.
 */
public final class MembershipScale {
    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration LIMIT = Duration.ofSeconds(120);
    private static final Duration STEADY = Duration.ofSeconds(120);
    private static final int KILLS = 5;

    private MembershipScale() {}

    /** Runs the measurement. */
    public static void main(String[] args) throws Exception {
        List<Integer> sizes =
                args.length == 0
                        ? List.of(10, 50, 100, 200, 380)
                        : Arrays.stream(args).map(Integer::valueOf).toList();
        System.out.println(
                "| nodes | start s | sent B/s | received B/s | busiest node B/s | cpu % of a core |"
                        + " heap KB | one dead: first s | all s | zone dead: all s |"
                        + " peak sent B/s | false deaths at 2% loss |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|---|");
        for (int size : sizes) {
            System.out.println(measure(size));
        }
    }

    private static String measure(int size) throws Exception {
        long heapBefore = heap();
        SimulatedMembers g = new SimulatedMembers(size, size);
        double start = until(g, r -> r.status() == MemberStatus.ALIVE, size);
        g.run(Duration.ofSeconds(60));
        long heap = (heap() - heapBefore) / size / 1024;

        reset(g);
        g.run(STEADY);
        double seconds = STEADY.toSeconds();
        double sent = sum(g, 0) / seconds / size;
        double received = sum(g, 1) / seconds / size;
        double cpu = sum(g, 2) / seconds / size / 1e9 * 100;
        double busiest =
                g.nodes().stream().mapToLong(n -> n.bytesSent + n.bytesReceived).max().orElse(0)
                        / seconds;

        long before = g.falseDeaths();
        g.setLoss(0.02);
        g.run(STEADY);
        long falseDeaths = g.falseDeaths() - before;
        g.setLoss(0);
        g.run(Duration.ofSeconds(30));

        double first = 0;
        double all = 0;
        for (int i = 0; i < KILLS; i++) {
            Node victim = g.nodes().get(size - 1 - i);
            victim.up = false;
            Instant at = g.instant();
            first = Math.max(first, detected(g, victim, at, false));
            all = Math.max(all, detected(g, victim, at, true));
            g.run(Duration.ofSeconds(20));
        }
        double[] zone = zoneDeath(g);
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
                zone[0],
                zone[1],
                falseDeaths);
    }

    /** Returns the time until all know, and the most that any node sent in one second meanwhile. */
    private static double[] zoneDeath(SimulatedMembers g) {
        g.nodes().stream().filter(n -> n.zone == 0).forEach(n -> n.up = false);
        long live = g.nodes().stream().filter(n -> n.up).count();
        Instant at = g.instant();
        double peak = 0;
        while (Duration.between(at, g.instant()).compareTo(LIMIT) < 0) {
            long[] before = g.nodes().stream().mapToLong(n -> n.bytesSent).toArray();
            g.run(Duration.ofSeconds(1));
            for (int i = 0; i < before.length; i++) {
                peak = Math.max(peak, g.nodes().get(i).bytesSent - before[i]);
            }
            if (g.nodes().stream().filter(n -> n.up).allMatch(n -> liveSeen(n) == live)) {
                break;
            }
        }
        return new double[] {Duration.between(at, g.instant()).toMillis() / 1e3, peak};
    }

    private static double detected(SimulatedMembers g, Node victim, Instant at, boolean byAll) {
        NodeId id = victim.membership.self().id();
        Predicate<Node> knows =
                n ->
                        n.membership.records().stream()
                                .anyMatch(
                                        r -> r.id().equals(id) && r.status() == MemberStatus.DEAD);
        while (Duration.between(at, g.instant()).compareTo(LIMIT) < 0) {
            boolean done =
                    byAll
                            ? g.nodes().stream().filter(n -> n.up).allMatch(knows)
                            : g.nodes().stream().filter(n -> n.up).anyMatch(knows);
            if (done) {
                break;
            }
            g.run(STEP);
        }
        return Duration.between(at, g.instant()).toMillis() / 1e3;
    }

    private static double until(SimulatedMembers g, Predicate<MemberRecord> p, int count) {
        Instant at = g.instant();
        while (Duration.between(at, g.instant()).compareTo(LIMIT) < 0
                && !g.nodes().stream()
                        .allMatch(
                                n -> n.membership.records().stream().filter(p).count() == count)) {
            g.run(STEP);
        }
        return Duration.between(at, g.instant()).toMillis() / 1e3;
    }

    private static long liveSeen(Node n) {
        return n.membership.records().stream().filter(r -> r.status() != MemberStatus.DEAD).count();
    }

    private static void reset(SimulatedMembers g) {
        for (Node n : g.nodes()) {
            n.bytesSent = 0;
            n.bytesReceived = 0;
            n.nanos = 0;
        }
    }

    private static double sum(SimulatedMembers g, int what) {
        return g.nodes().stream()
                .mapToLong(
                        n ->
                                switch (what) {
                                    case 0 -> n.bytesSent;
                                    case 1 -> n.bytesReceived;
                                    default -> n.nanos;
                                })
                .sum();
    }

    private static long heap() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(50);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
