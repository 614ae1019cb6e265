package org.carobdoor.message;

import java.util.Map;

/**
 * The requests that began to run on a node in a window of time.
 *
 * @param window the number of the window
 * @param counts the requests by client account
 */
public record UsageWindow(long window, Map<String, Long> counts) {

    /** Copies the map. */
    public UsageWindow {
        counts = Map.copyOf(counts);
    }
}
