package org.carobdoor.bench.claims;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.carobdoor.Result;
import org.carobdoor.VersionedValue;
import org.carobdoor.internal.claims.ClaimLog;
import org.carobdoor.internal.claims.ClaimLogListener;
import org.carobdoor.internal.claims.ClaimLogSettings;
import org.carobdoor.internal.claims.Id128;
import org.carobdoor.internal.claims.LogOperation;
import org.carobdoor.message.ClaimRequest;

/** Fills one claim log and measures the memory of its index and the CPU time per claim. */
final class ClaimIndexMemory {
    private static final int CLAIMS_PER_BATCH = 10;

    private final Random random = new Random(1);
    private final Map<Long, Integer> segmentSizes = new HashMap<>();
    private Instant now = Instant.ofEpochSecond(1_800_000_000);
    private final ClaimLog log =
            new ClaimLog(ClaimLogSettings.DEFAULT, () -> now, random, ClaimLogListener.NONE);
    private long version;
    private int headBytes;

    private ClaimIndexMemory() {}

    static String measure(int claims) {
        long before = usedBytes();
        ClaimIndexMemory benchmark = new ClaimIndexMemory();
        long begin = System.nanoTime();
        for (int i = 0; i < claims; i += CLAIMS_PER_BATCH) {
            benchmark.writeBatch();
        }
        long nanos = System.nanoTime() - begin;
        long used = usedBytes() - before;
        return String.format(
                "One log after %d claims in batches of %d: %d sealed records in %d segments,"
                        + " %.1f bytes of memory per claim, head %d bytes, %.1f us per claim to"
                        + " decide and encode.",
                claims,
                CLAIMS_PER_BATCH,
                benchmark.log.indexedRecords(),
                benchmark.segmentSizes.size(),
                (double) used / claims,
                benchmark.headBytes,
                nanos / 1e3 / claims);
    }

    private void writeBatch() {
        for (int i = 0; i < CLAIMS_PER_BATCH; i++) {
            ClaimRequest request =
                    new ClaimRequest(
                            0,
                            Id128.random(random).toBytes(),
                            Id128.random(random).toBytes(),
                            now.plus(Duration.ofHours(24)),
                            now.plusSeconds(2));
            long unused = log.submit(request, "node-" + random.nextInt(380));
        }
        boolean isIdle = false;
        while (!isIdle) {
            now = now.plusMillis(80);
            LogOperation operation = log.next();
            perform(operation);
            var unused = log.drainReplies();
            isIdle = operation instanceof LogOperation.WriteHead;
        }
    }

    private void perform(LogOperation operation) {
        switch (operation) {
            case LogOperation.ReadHead op -> log.onHeadRead(Result.ok(Optional.empty()));
            case LogOperation.WriteHead op -> {
                version++;
                headBytes = op.value().size();
                log.onHeadWritten(Result.ok(version));
            }
            case LogOperation.WriteSegment op -> {
                segmentSizes.put(op.number(), op.value().size());
                log.onSegmentWritten(Result.ok(1L));
            }
            case LogOperation.ReadSegments op ->
                    log.onSegmentsRead(
                            op.numbers().stream()
                                    .map(n -> Result.ok(Optional.<VersionedValue>empty()))
                                    .toList());
            default -> {}
        }
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
