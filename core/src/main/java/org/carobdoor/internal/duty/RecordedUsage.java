package org.carobdoor.internal.duty;

import java.util.Collections;
import java.util.Map;

/**
 * The usage counts in the store that have been or may have been reported.
 *
 * @param windows the counts by window and client account
 * @param lastWindow the last window that was recorded, also if its counts cannot be read; {@link
 *     Long#MIN_VALUE} if none was
 * @param era the era of the store in which they were written
 */
public record RecordedUsage(Map<Long, Map<String, Long>> windows, long lastWindow, long era) {

    /** Creates a record of era 0. */
    public RecordedUsage(Map<Long, Map<String, Long>> windows, long lastWindow) {
        this(windows, lastWindow, 0);
    }

    /** Copies the counts. */
    public RecordedUsage {
        windows = Map.copyOf(windows);
    }

    /** Returns a record of era 0 whose counts can all be read. */
    public static RecordedUsage of(Map<Long, Map<String, Long>> windows) {
        return of(windows, 0);
    }

    /** Returns a record whose counts can all be read. */
    public static RecordedUsage of(Map<Long, Map<String, Long>> windows, long era) {
        return new RecordedUsage(
                windows,
                windows.isEmpty() ? Long.MIN_VALUE : Collections.max(windows.keySet()),
                era);
    }
}
