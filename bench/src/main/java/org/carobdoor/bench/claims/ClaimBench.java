package org.carobdoor.bench.claims;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.carobdoor.Bytes;
import org.carobdoor.ClientAccount;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.catalogue.EntryKind;
import org.carobdoor.internal.catalogue.EntryLimits;
import org.carobdoor.internal.catalogue.EntryObjective;
import org.carobdoor.internal.claims.ClaimVerdict;
import org.carobdoor.node.claims.ClaimService;
import org.carobdoor.node.claims.StoredAnswer;
import org.carobdoor.standins.fake.FakeKeyValueStore;

/**
 * Measures the latency that a claim adds to a call, the operations on the key-value store and the
 * CPU time at several request rates, and then the memory of the claim index.
 *
 * <pre>
 * java -cp bench/target/carobdoor-bench-0.1.0-SNAPSHOT-all.jar \
 *     org.carobdoor.bench.claims.ClaimBench [seconds per rate]
 * </pre>
 *
 * <p>Seven nodes run in this process. Store operations take 2 ms, messages between nodes take no
 * time, and each call completes 20 ms after its claim. The load is open-loop: calls arrive as a
 * Poisson process and do not wait for earlier responses.
 */
public final class ClaimBench {
    private static final int NODES = 7;
    private static final int[] CLAIMS_PER_SECOND = {1, 10, 100, 170, 1000};
    private static final long MAX_CLAIM_MICROS = 60_000_000;
    private static final ClientAccount ACCOUNT = new ClientAccount("bench");
    private static final CatalogueEntry ENTRY =
            new CatalogueEntry(
                    "bids",
                    ACCOUNT,
                    EntryKind.SERVICE,
                    1,
                    Set.of(),
                    "bids",
                    "bids",
                    false,
                    true,
                    new EntryLimits(0, 0, 0, 0),
                    new EntryObjective(100, 0, 99),
                    1);

    private final Random random = new Random(1);
    private final Histogram claimMicros = new ConcurrentHistogram(MAX_CLAIM_MICROS, 3);
    private final AtomicLong notGranted = new AtomicLong();

    private ClaimBench() {}

    /** Prints one table row per rate, then the memory of the index. */
    public static void main(String[] args) throws InterruptedException {
        int seconds = args.length > 0 ? Integer.parseInt(args[0]) : 20;
        System.out.println(
                "| claims/s | claims | not granted | p50 ms | p99 ms | max ms | writes/s | reads/s"
                        + " | KB written/s | CPU us/claim |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|");
        new ClaimBench().run(200, 3);
        for (int rate : CLAIMS_PER_SECOND) {
            System.out.println(new ClaimBench().run(rate, rate == 1 ? 3 * seconds : seconds));
        }
        System.out.println(ClaimIndexMemory.measure(500_000));
    }

    private String run(int rate, int seconds) throws InterruptedException {
        DelayedKeyValueStore store =
                new DelayedKeyValueStore(
                        FakeKeyValueStore.create(1, InstantSource.system()), Duration.ofMillis(2));
        try (InProcessClaimNodes nodes = new InProcessClaimNodes(NODES, store)) {
            Thread.sleep(200);
            long writes = store.writes.get();
            long reads = store.reads.get();
            long bytes = store.bytesWritten.get();
            long cpu = cpuNanos();
            generateLoad(nodes, rate, seconds);
            long claims = claimMicros.getTotalCount() + notGranted.get();
            return String.format(
                    "| %d | %d | %d | %.1f | %.1f | %.1f | %.1f | %.1f | %.0f | %.0f |",
                    rate,
                    claims,
                    notGranted.get(),
                    claimMicros.getValueAtPercentile(50) / 1e3,
                    claimMicros.getValueAtPercentile(99) / 1e3,
                    claimMicros.getMaxValue() / 1e3,
                    (double) (store.writes.get() - writes) / seconds,
                    (double) (store.reads.get() - reads) / seconds,
                    (store.bytesWritten.get() - bytes) / 1e3 / seconds,
                    (cpuNanos() - cpu) / 1e3 / claims);
        }
    }

    private void generateLoad(InProcessClaimNodes nodes, int rate, int seconds)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        long next = System.nanoTime();
        try (ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; next < end; i++) {
                LockSupport.parkNanos(next - System.nanoTime());
                ClaimService node = nodes.services.get(random.nextInt(NODES));
                String key = Instant.now().getEpochSecond() + ":" + i;
                calls.execute(() -> call(node, key));
                next += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / rate);
            }
        }
    }

    private void call(ClaimService node, String key) {
        try {
            long begin = System.nanoTime();
            ClaimVerdict verdict = node.claim(ACCOUNT, ENTRY, key, Instant.now().plusSeconds(10));
            long claimNanos = System.nanoTime() - begin;
            if (verdict instanceof ClaimVerdict.Granted(var token) && node.beginSend(token)) {
                claimMicros.recordValue(Math.min(MAX_CLAIM_MICROS, claimNanos / 1000));
                Thread.sleep(20);
                node.markDone(token, new StoredAnswer(200, "", Bytes.empty()));
            } else {
                notGranted.incrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }
}
