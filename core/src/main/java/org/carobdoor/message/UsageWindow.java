package org.carobdoor.message;

import java.util.Map;

/**
 * The number of requests that started on a node in one time window, by client account.
 *
 * @param window the number of the window
 * @param counts number of requests by client account
 */
public record UsageWindow(long window, Map<String, Long> counts) {

    /** Copies the map. */
    public UsageWindow {
        counts = Map.copyOf(counts);
    }
}
