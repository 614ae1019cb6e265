package org.carobdoor.internal.duty;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The number of requests that started on this node, by time window and client account.
 *
 * <p>Window {@code k} begins {@code k} window lengths after the epoch. Not thread-safe.
 */
public final class UsageCounts {
    /** Number of windows kept, enough to report a window after a long outage. */
    private static final int MAX_WINDOWS = 12;

    private final NavigableMap<Long, Map<String, Long>> windows = new TreeMap<>();
    private final long windowMillis;

    private UsageCounts(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /** Returns empty counts for windows of {@code windowMillis}. */
    public static UsageCounts create(long windowMillis) {
        return new UsageCounts(windowMillis);
    }

    /** Returns the window that contains the time {@code millis} since the epoch. */
    public long windowAt(long millis) {
        return Math.floorDiv(millis, windowMillis);
    }

    /** Returns the end of {@code window}, in milliseconds since the epoch. */
    public long endMillis(long window) {
        return (window + 1) * windowMillis;
    }

    /** Counts a request of {@code account} that started at {@code millis} since the epoch. */
    public void recordStart(String account, long millis) {
        windows.computeIfAbsent(windowAt(millis), w -> new TreeMap<>())
                .merge(account, 1L, Long::sum);
        while (windows.size() > MAX_WINDOWS) {
            windows.pollFirstEntry();
        }
    }

    /** Returns the counts of the windows starting with {@code first}. */
    public NavigableMap<Long, Map<String, Long>> since(long first) {
        return new TreeMap<>(windows.tailMap(first, true));
    }
}
