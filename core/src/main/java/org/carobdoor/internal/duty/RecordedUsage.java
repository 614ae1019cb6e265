package org.carobdoor.internal.duty;

import java.util.Collections;
import java.util.Map;

/**
 * The usage counts in the store that have been or may have been reported.
 *
 * @param windows the counts by window and client account
 * @param lastWindow the last window that was recorded, also if its counts cannot be read; {@link
 *     Long#MIN_VALUE} if none was
 */
public record RecordedUsage(Map<Long, Map<String, Long>> windows, long lastWindow) {

    /** Copies the counts. */
    public RecordedUsage {
        windows = Map.copyOf(windows);
    }

    /** Returns a record whose counts can all be read. */
    public static RecordedUsage of(Map<Long, Map<String, Long>> windows) {
        return new RecordedUsage(
                windows, windows.isEmpty() ? Long.MIN_VALUE : Collections.max(windows.keySet()));
    }
}
