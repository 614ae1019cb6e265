package org.carobdoor.bench.work;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.IntConsumer;
import org.carobdoor.Bytes;
import org.carobdoor.RunState;
import org.carobdoor.node.work.AnswerPart;
import org.carobdoor.node.work.ClaimAcquirer;
import org.carobdoor.node.work.KeyValueTakeoverStore;
import org.carobdoor.node.work.StreamSink;
import org.carobdoor.node.work.TokenRequest;
import org.carobdoor.node.work.TokenSink;
import org.carobdoor.node.work.TokenSource;
import org.carobdoor.node.work.WorkListener;
import org.carobdoor.node.work.WorkPorts;
import org.carobdoor.node.work.WorkService;
import org.carobdoor.node.work.WorkSpec;
import org.carobdoor.standins.fake.FakeKeyValueStore;
import org.carobdoor.standins.fake.FakePeerNetwork;
import org.carobdoor.standins.fake.LinkFaults;

/**
 * Benchmarks accepted work on nodes in one process and prints one line per case. A single node
 * makes no copies, so the difference between one and three nodes is the cost of copying.
 */
public final class WorkBench {
    private static final int STREAMS = 1_000;
    private static final int TOKENS_PER_STREAM = 150;
    private static final int TOKEN_MILLIS = 68;
    private static final int SHORT_REQUESTS = 2_000;
    private static final int MAX_IN_FLIGHT = 20;
    private static final int WARM_UP_REQUESTS = 400;
    private static final String TOKEN = "word ";
    private static final Bytes PROMPT = Bytes.utf8("p".repeat(1_000));

    /** Half of the round-trip time between zones, which is about 1 ms. */
    private static final Duration ONE_WAY = Duration.ofNanos(500_000);

    private final InstantSource clock = InstantSource.system();
    private final LongAdder messages = new LongAdder();
    private final LongAdder bytes = new LongAdder();
    private final List<WorkService> services = new ArrayList<>();
    private final int tokenMillis;
    private final int tokens;

    private WorkBench(int nodes, int tokens, int tokenMillis) {
        this.tokens = tokens;
        this.tokenMillis = tokenMillis;
        var network = FakePeerNetwork.create(1, clock);
        network.setFaults(new LinkFaults(0, 0, ONE_WAY, ONE_WAY));
        var store = FakeKeyValueStore.create(1, clock);
        for (int i = 0; i < nodes; i++) {
            var counting =
                    new CountingNetwork(network.node(FixedMembershipView.id(i)), messages, bytes);
            services.add(
                    WorkService.start(
                            new WorkPorts(
                                    counting,
                                    new FixedMembershipView(nodes, i),
                                    tokenSource(),
                                    KeyValueTakeoverStore.create(store),
                                    new UnavailableClaimGate(),
                                    WorkListener.NONE,
                                    clock,
                                    new SecureRandom())));
        }
    }

    /** Grants no claims; all requests of the benchmark are repeatable and need none. */
    private static final class UnavailableClaimGate implements ClaimAcquirer {
        @Override
        public Outcome claim(String requestId, WorkSpec spec, Instant deadline) {
            return Outcome.UNAVAILABLE;
        }

        @Override
        public void finished(String requestId, WorkSpec spec, RunState runState) {}
    }

    /** Records the arrival time of the first token. */
    private static final class FirstTokenTimer implements StreamSink {
        private long firstTokenNanos;

        @Override
        public void accepted(String requestId) {}

        @Override
        public boolean part(AnswerPart part) {
            firstTokenNanos = firstTokenNanos == 0 ? System.nanoTime() : firstTokenNanos;
            return true;
        }
    }

    private TokenSource tokenSource() {
        return (request, sink) -> {
            Thread thread = Thread.startVirtualThread(() -> generateTokens(request, sink));
            return thread::interrupt;
        };
    }

    private void generateTokens(TokenRequest request, TokenSink sink) {
        try {
            for (int i = request.resumeTokens(); i < tokens; i++) {
                sink.tokens(1, TOKEN);
                if (tokenMillis > 0) {
                    Thread.sleep(tokenMillis);
                }
            }
            sink.end();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private WorkSpec spec() {
        return new WorkSpec("bench", PROMPT, true, clock.instant().plusSeconds(300));
    }

    /**
     * Runs {@code count} streams, at most {@code inFlight} concurrently, and returns the sorted
     * times to the first token in nanoseconds.
     */
    private long[] runStreams(int count, int inFlight) throws InterruptedException {
        var times = new AtomicLongArray(count);
        inParallel(
                count,
                inFlight,
                i -> {
                    var sink = new FirstTokenTimer();
                    long start = System.nanoTime();
                    services.getFirst().stream(spec(), sink).orElseThrow();
                    times.set(i, sink.firstTokenNanos - start);
                });
        long[] sorted = new long[count];
        Arrays.setAll(sorted, times::get);
        Arrays.sort(sorted);
        return sorted;
    }

    private static void inParallel(int count, int inFlight, IntConsumer task)
            throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int t = 0; t < inFlight; t++) {
            int first = t;
            threads.add(
                    Thread.startVirtualThread(
                            () -> {
                                for (int i = first; i < count; i += inFlight) {
                                    task.accept(i);
                                }
                            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private static double cpuMillis() {
        var system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return system.getProcessCpuTime() / 1e6;
    }

    private static long heapAfterGc() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(100);
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private void stop() {
        services.forEach(WorkService::close);
    }

    private static void measureTokenCost(int nodes) throws InterruptedException {
        var bench = new WorkBench(nodes, TOKENS_PER_STREAM, TOKEN_MILLIS);
        long heap = heapAfterGc();
        double cpu = cpuMillis();
        Thread run =
                Thread.startVirtualThread(() -> bench.runStreamsUntilInterrupted(STREAMS, STREAMS));
        Thread.sleep(TOKENS_PER_STREAM * TOKEN_MILLIS / 2);
        double heapPerStream = (heapAfterGc() - heap) / (double) STREAMS;
        run.join();
        double tokenThousands = STREAMS * TOKENS_PER_STREAM / 1_000.0;
        System.out.printf(
                "%d nodes, %d streams of %d tokens: per 1000 tokens %.1f messages, %.0f bytes, "
                        + "%.2f ms CPU; heap per open stream %.0f bytes%n",
                nodes,
                STREAMS,
                TOKENS_PER_STREAM,
                bench.messages.sum() / tokenThousands,
                bench.bytes.sum() / tokenThousands,
                (cpuMillis() - cpu) / tokenThousands,
                heapPerStream);
        bench.stop();
    }

    private void runStreamsUntilInterrupted(int count, int inFlight) {
        try {
            runStreams(count, inFlight);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void measureRequestCost(int nodes) throws InterruptedException {
        var bench = new WorkBench(nodes, 1, 0);
        bench.runStreams(WARM_UP_REQUESTS, MAX_IN_FLIGHT);
        bench.messages.reset();
        bench.bytes.reset();
        double cpu = cpuMillis();
        long[] times = bench.runStreams(SHORT_REQUESTS, MAX_IN_FLIGHT);
        System.out.printf(
                "%d nodes, %d streams of 1 token: per request %.2f messages, %.0f bytes, "
                        + "%.3f ms CPU; first token p50 %.2f ms, p95 %.2f ms%n",
                nodes,
                SHORT_REQUESTS,
                bench.messages.sum() / (double) SHORT_REQUESTS,
                bench.bytes.sum() / (double) SHORT_REQUESTS,
                (cpuMillis() - cpu) / SHORT_REQUESTS,
                times[SHORT_REQUESTS / 2] / 1e6,
                times[SHORT_REQUESTS * 95 / 100] / 1e6);
        bench.stop();
    }

    /** Runs every case twice, because the first run warms up the JVM; takes about a minute. */
    public static void main(String[] args) throws InterruptedException {
        for (int i = 0; i < 2; i++) {
            measureRequestCost(1);
            measureRequestCost(3);
            measureTokenCost(1);
            measureTokenCost(3);
        }
    }
}
