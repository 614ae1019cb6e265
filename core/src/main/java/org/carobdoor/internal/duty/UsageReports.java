package org.carobdoor.internal.duty;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Determines when the counts of a window are stored and reported.
 *
 * <p>The counts of a window are written to the store before the window is first reported, and every
 * report sends the stored counts. A report whose outcome is unknown can therefore be repeated, by
 * this or a later holder of the duties, with identical counts.
 *
 * <p>A store that comes back from an older copy may lack windows that were recorded, and perhaps
 * reported, since. The record of a former era is therefore merged with what this node knows, and
 * written before anything is reported. A window that may have been reported with counts that this
 * node does not know is not reported.
 *
 * <p>Not thread-safe.
 */
public final class UsageReports {
    /**
     * Delay after the end of a window to receive the counts of all nodes, which are sent every 200
     * ms.
     */
    private static final long COLLECTION_DELAY_MILLIS = 2_000;

    /** Longer delay while the counts of a node are missing; reports are due after 10 s. */
    private static final long MISSING_NODE_DELAY_MILLIS = 8_500;

    /** Delay before a failed step is retried. */
    private static final long RETRY_DELAY_MILLIS = 800;

    /** Windows that ended longer ago than this are no longer reported. */
    private static final long MAX_AGE_MILLIS = 25_000;

    private static final int MAX_RECORDED_WINDOWS = 6;

    private final TreeMap<Long, Map<String, Long>> recorded = new TreeMap<>();
    private final Set<Long> confirmed = new HashSet<>();
    private final UsageCounts windows;
    private long lastRecorded = Long.MIN_VALUE;
    private long notBeforeMillis = Long.MIN_VALUE;
    private boolean storeIsBehind;

    private UsageReports(UsageCounts windows) {
        this.windows = windows;
    }

    /** Returns an instance that reports the windows of {@code windows}. */
    public static UsageReports create(UsageCounts windows) {
        return new UsageReports(windows);
    }

    /** Replaces the recorded windows with those in the store, written in its current era. */
    public void loadRecorded(RecordedUsage record) {
        storeIsBehind = false;
        recorded.clear();
        recorded.putAll(record.windows());
        lastRecorded = Math.max(lastRecorded, record.lastWindow());
    }

    /**
     * Merges the recorded windows with those in the store, which were written in a former era.
     *
     * @param complete whether this node knows all windows that were recorded before this era, since
     *     it recorded them itself
     */
    public void mergeFormer(RecordedUsage record, boolean complete, long nowMillis) {
        storeIsBehind = true;
        record.windows().forEach(recorded::putIfAbsent);
        trim(recorded);
        lastRecorded = Math.max(lastRecorded, record.lastWindow());
        if (!complete) {
            // Windows that had not ended long enough, by any node's clock, were not recorded.
            long latestMillis = nowMillis + 2 * ClusterClock.TOLERANCE_MILLIS;
            long open = windows.windowAt(latestMillis - COLLECTION_DELAY_MILLIS);
            lastRecorded = Math.max(lastRecorded, open - 1);
        }
    }

    /** Marks {@code window} as accepted by the platform. */
    public void confirm(long window) {
        confirmed.add(window);
        confirmed.removeIf(w -> w < window - 10 * MAX_RECORDED_WINDOWS);
    }

    /** Schedules a retry after the last step failed or its outcome is unknown. */
    public void retryLater(long nowMillis) {
        notBeforeMillis = nowMillis + RETRY_DELAY_MILLIS;
    }

    /**
     * Returns the next step for the holder of the duties.
     *
     * @param usage the counts of all nodes
     * @param allNodesHeard whether a recent status of every other node has been received
     */
    public UsageStep next(ClusterUsage usage, boolean allNodesHeard, long nowMillis) {
        if (nowMillis < notBeforeMillis && notBeforeMillis - nowMillis <= RETRY_DELAY_MILLIS) {
            return new UsageStep.Wait();
        }
        if (storeIsBehind) {
            return new UsageStep.Record(recorded);
        }
        for (Map.Entry<Long, Map<String, Long>> e : recorded.entrySet()) {
            boolean fresh = nowMillis - windows.endMillis(e.getKey()) < MAX_AGE_MILLIS;
            if (fresh && !confirmed.contains(e.getKey())) {
                return new UsageStep.Report(e.getKey(), e.getValue());
            }
        }
        long oldest = windows.windowAt(nowMillis - MAX_AGE_MILLIS);
        long wait = allNodesHeard ? COLLECTION_DELAY_MILLIS : MISSING_NODE_DELAY_MILLIS;
        for (long w = Math.max(oldest, lastRecorded + 1); isClosed(w, nowMillis, wait); w++) {
            Map<String, Long> counts = usage.total(w);
            if (!counts.isEmpty()) {
                TreeMap<Long, Map<String, Long>> next = new TreeMap<>(recorded);
                next.put(w, counts);
                trim(next);
                return new UsageStep.Record(next);
            }
        }
        return new UsageStep.Wait();
    }

    private static void trim(TreeMap<Long, Map<String, Long>> windows) {
        while (windows.size() > MAX_RECORDED_WINDOWS) {
            windows.pollFirstEntry();
        }
    }

    private boolean isClosed(long window, long nowMillis, long waitMillis) {
        return nowMillis - windows.endMillis(window) >= waitMillis;
    }
}
