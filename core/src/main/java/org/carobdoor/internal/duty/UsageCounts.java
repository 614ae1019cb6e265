package org.carobdoor.internal.duty;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * How many requests of each client account began to run, by window of time.
 *
 * <p>Window {@code k} begins {@code k} window lengths after the epoch. Belongs to one thread.
 */
public final class UsageCounts {
    /** Windows kept: enough to report a window after long outages. */
    private static final int KEPT_WINDOWS = 12;

    private final NavigableMap<Long, Map<String, Long>> windows = new TreeMap<>();
    private final long windowMillis;

    private UsageCounts(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /** Returns empty counts of windows of {@code windowMillis}. */
    public static UsageCounts create(long windowMillis) {
        return new UsageCounts(windowMillis);
    }

    /** Returns the window that holds the time {@code millis} since the epoch. */
    public long windowAt(long millis) {
        return Math.floorDiv(millis, windowMillis);
    }

    /** Returns when {@code window} ends, in milliseconds since the epoch. */
    public long endMillis(long window) {
        return (window + 1) * windowMillis;
    }

    /** Counts a request of {@code account} that began to run at {@code millis}. */
    public void recordStart(String account, long millis) {
        windows.computeIfAbsent(windowAt(millis), w -> new TreeMap<>())
                .merge(account, 1L, Long::sum);
        while (windows.size() > KEPT_WINDOWS) {
            windows.pollFirstEntry();
        }
    }

    /** Returns the counts of the windows from {@code first} on. */
    public NavigableMap<Long, Map<String, Long>> since(long first) {
        return new TreeMap<>(windows.tailMap(first, true));
    }
}
