package org.carobdoor.node.replica;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Locale;
import java.util.function.ToLongFunction;
import org.carobdoor.MemberState;

/**
 * Measures the services at production settings with real sockets on loopback, all nodes in one
 * process: control traffic, processor time, heap, and the time until a change or a death is known
 * everywhere. It is a program, not a test: the first argument is the number of nodes.
 */
final class ReplicaScale {
    private static final int ZONES = 7;
    private static final int CHANGES = 10;
    private static final Duration LIMIT = Duration.ofSeconds(90);
    private static final Duration STEADY = Duration.ofSeconds(20);

    private ReplicaScale() {}

    /** Prints one row of the table in {@code docs/measurements/membership.md}. */
    public static void main(String[] args) throws Exception {
        int size = Integer.parseInt(args[0]);
        long heapBefore = heap();
        try (TestCluster c = new TestCluster(size, ZONES, 1)) {
            TestCluster.await(
                    "all nodes know each other",
                    LIMIT,
                    () -> c.nodes.stream().allMatch(n -> n.membership.live().size() == size));
            long heap = (heap() - heapBefore) / size / 1024;
            double worst = 0;
            double sum = 0;
            for (int i = 0; i < CHANGES; i++) {
                long start = System.nanoTime();
                c.awaitRevision("entry/bids", c.write("bids"), LIMIT);
                double millis = (System.nanoTime() - start) / 1e6;
                worst = Math.max(worst, millis);
                sum += millis;
                Thread.sleep(300);
            }
            Thread.sleep(15_000);
            String steady = steady(c, size);
            System.out.printf(
                    Locale.ROOT,
                    "| %d | %s | %d | %.0f | %.0f | %.1f |%n",
                    size,
                    steady,
                    heap,
                    sum / CHANGES,
                    worst,
                    death(c));
        }
        System.exit(0);
    }

    private static String steady(TestCluster c, int size) throws InterruptedException {
        var os = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long cpu = os.getProcessCpuTime();
        long udp = total(c, n -> n.udp.counters().bytesSent());
        long datagrams = total(c, n -> n.udp.counters().messagesSent());
        long tcp = total(c, n -> n.tcp.counters().bytesSent());
        Thread.sleep(STEADY.toMillis());
        double seconds = STEADY.toSeconds() * (double) size;
        double udpHeaders = 28.0 * (total(c, n -> n.udp.counters().messagesSent()) - datagrams);
        return String.format(
                Locale.ROOT,
                "%.0f | %.0f | %.2f",
                (total(c, n -> n.udp.counters().bytesSent()) - udp + udpHeaders) / seconds,
                (total(c, n -> n.tcp.counters().bytesSent()) - tcp) / seconds,
                (os.getProcessCpuTime() - cpu) / seconds / 1e9 * 100);
    }

    private static double death(TestCluster c) {
        TestNode victim = c.nodes.removeLast();
        long start = System.nanoTime();
        victim.udp.close();
        victim.tcp.close();
        TestCluster.await(
                "all know of the death",
                LIMIT,
                () ->
                        c.nodes.stream()
                                .allMatch(
                                        n ->
                                                n.membership.find(victim.id).orElseThrow().state()
                                                        == MemberState.DEAD));
        double seconds = (System.nanoTime() - start) / 1e9;
        victim.close();
        return seconds;
    }

    private static long total(TestCluster c, ToLongFunction<TestNode> value) {
        return c.nodes.stream().mapToLong(value).sum();
    }

    private static long heap() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(50);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
