package org.carobdoor.internal.duty;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides when the counts of a window are recorded and reported.
 *
 * <p>The counts of a window are written to the store before the first report of it, and every
 * report sends what the store holds. So a report whose outcome is unknown can be sent again, by
 * this holder or a later one, and always has the same counts.
 *
 * <p>Belongs to one thread.
 */
public final class UsageReports {
    /** Wait after the end of a window for the counts of all nodes, which come each 200 ms. */
    private static final long SETTLE_MILLIS = 2_000;

    /** Longer wait while the counts of some node are missing; reports are due after ten seconds. */
    private static final long MISSING_NODE_MILLIS = 8_500;

    /** Wait before a report is sent again. */
    private static final long RETRY_MILLIS = 800;

    /** Windows older than this are past any use. */
    private static final long MAX_AGE_MILLIS = 25_000;

    private static final int KEPT_RECORDS = 6;

    private final TreeMap<Long, Map<String, Long>> recorded = new TreeMap<>();
    private final Set<Long> confirmed = new HashSet<>();
    private final UsageCounts windows;
    private long lastRecorded = Long.MIN_VALUE;
    private long notBeforeMillis = Long.MIN_VALUE;

    private UsageReports(UsageCounts windows) {
        this.windows = windows;
    }

    /** Returns reports of the windows of {@code windows}. */
    public static UsageReports create(UsageCounts windows) {
        return new UsageReports(windows);
    }

    /** Replaces the recorded windows by those that the store holds. */
    public void storeHolds(Map<Long, Map<String, Long>> records) {
        recorded.clear();
        recorded.putAll(records);
        if (!recorded.isEmpty()) {
            lastRecorded = Math.max(lastRecorded, recorded.lastKey());
        }
    }

    /** The platform has accepted the report of {@code window}. */
    public void confirm(long window) {
        confirmed.add(window);
        confirmed.removeIf(w -> w < window - 10 * KEPT_RECORDS);
    }

    /** The last step failed or its outcome is unknown. */
    public void retryLater(long nowMillis) {
        notBeforeMillis = nowMillis + RETRY_MILLIS;
    }

    /**
     * Returns the next step of the holder.
     *
     * @param usage the counts of all nodes
     * @param allNodesHeard whether every other node has reported within the last second
     */
    public UsageStep next(ClusterUsage usage, boolean allNodesHeard, long nowMillis) {
        if (nowMillis < notBeforeMillis && notBeforeMillis - nowMillis <= RETRY_MILLIS) {
            return new UsageStep.Wait();
        }
        for (Map.Entry<Long, Map<String, Long>> e : recorded.entrySet()) {
            boolean fresh = nowMillis - windows.endMillis(e.getKey()) < MAX_AGE_MILLIS;
            if (fresh && !confirmed.contains(e.getKey())) {
                return new UsageStep.Report(e.getKey(), e.getValue());
            }
        }
        long oldest = windows.windowAt(nowMillis - MAX_AGE_MILLIS);
        long wait = allNodesHeard ? SETTLE_MILLIS : MISSING_NODE_MILLIS;
        for (long w = Math.max(oldest, lastRecorded + 1); isClosed(w, nowMillis, wait); w++) {
            Map<String, Long> counts = usage.total(w);
            if (!counts.isEmpty()) {
                TreeMap<Long, Map<String, Long>> next = new TreeMap<>(recorded);
                next.put(w, counts);
                while (next.size() > KEPT_RECORDS) {
                    next.pollFirstEntry();
                }
                return new UsageStep.Record(next);
            }
        }
        return new UsageStep.Wait();
    }

    private boolean isClosed(long window, long nowMillis, long waitMillis) {
        return nowMillis - windows.endMillis(window) >= waitMillis;
    }
}
