package org.carobdoor.node.replica;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Locale;
import java.util.function.ToLongFunction;
import org.carobdoor.MemberState;

/**
 * Benchmark of the services with production settings and loopback sockets, with all nodes in one
 * process. Measures control traffic, CPU time, heap, and the time until all nodes know of a change
 * or a failed node. The first argument is the number of nodes.
 */
final class ReplicaScale {
    private static final int ZONES = 7;
    private static final int CHANGES = 10;
    private static final Duration TIMEOUT = Duration.ofSeconds(90);
    private static final Duration STEADY_DURATION = Duration.ofSeconds(20);

    private ReplicaScale() {}

    /** Prints one row of the table in {@code docs/measurements/membership.md}. */
    public static void main(String[] args) throws Exception {
        int size = Integer.parseInt(args[0]);
        long heapBefore = usedHeapBytes();
        try (TestCluster c = new TestCluster(size, ZONES, 1)) {
            TestCluster.await(
                    "all nodes know each other",
                    TIMEOUT,
                    () -> c.nodes.stream().allMatch(n -> n.membership.live().size() == size));
            long heap = (usedHeapBytes() - heapBefore) / size / 1024;
            double worst = 0;
            double sum = 0;
            for (int i = 0; i < CHANGES; i++) {
                long start = System.nanoTime();
                c.awaitRevision("entry/bids", c.write("bids"), TIMEOUT);
                double millis = (System.nanoTime() - start) / 1e6;
                worst = Math.max(worst, millis);
                sum += millis;
                Thread.sleep(300);
            }
            Thread.sleep(15_000);
            String steady = measureSteadyState(c, size);
            System.out.printf(
                    Locale.ROOT,
                    "| %d | %s | %d | %.0f | %.0f | %.1f |%n",
                    size,
                    steady,
                    heap,
                    sum / CHANGES,
                    worst,
                    measureFailureDetection(c));
        }
        System.exit(0);
    }

    private static String measureSteadyState(TestCluster c, int size) throws InterruptedException {
        var os = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long cpu = os.getProcessCpuTime();
        long udp = total(c, n -> n.udp.counters().bytesSent());
        long datagrams = total(c, n -> n.udp.counters().messagesSent());
        long tcp = total(c, n -> n.tcp.counters().bytesSent());
        Thread.sleep(STEADY_DURATION.toMillis());
        double seconds = STEADY_DURATION.toSeconds() * (double) size;
        double udpHeaders = 28.0 * (total(c, n -> n.udp.counters().messagesSent()) - datagrams);
        return String.format(
                Locale.ROOT,
                "%.0f | %.0f | %.2f",
                (total(c, n -> n.udp.counters().bytesSent()) - udp + udpHeaders) / seconds,
                (total(c, n -> n.tcp.counters().bytesSent()) - tcp) / seconds,
                (os.getProcessCpuTime() - cpu) / seconds / 1e9 * 100);
    }

    private static double measureFailureDetection(TestCluster c) {
        TestNode failedNode = c.nodes.removeLast();
        long start = System.nanoTime();
        failedNode.udp.close();
        failedNode.tcp.close();
        TestCluster.await(
                "all nodes detect the failed node",
                TIMEOUT,
                () ->
                        c.nodes.stream()
                                .allMatch(
                                        n ->
                                                n.membership
                                                                .find(failedNode.id)
                                                                .orElseThrow()
                                                                .state()
                                                        == MemberState.DEAD));
        double seconds = (System.nanoTime() - start) / 1e9;
        failedNode.close();
        return seconds;
    }

    private static long total(TestCluster c, ToLongFunction<TestNode> value) {
        return c.nodes.stream().mapToLong(value).sum();
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(50);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
