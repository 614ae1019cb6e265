package org.carobdoor.internal.duty;

import java.util.Map;

/** The next step of the holder of the duties for usage reports. */
public sealed interface UsageStep {

    /** Nothing to do. */
    record Wait() implements UsageStep {}

    /**
     * Write the counts of a window to the store, so that all reports of it are identical.
     *
     * @param windows all recorded windows, including the new one
     */
    record Record(Map<Long, Map<String, Long>> windows) implements UsageStep {

        /** Makes a defensive copy of the map. */
        public Record {
            windows = Map.copyOf(windows);
        }
    }

    /**
     * Report a recorded window to the platform.
     *
     * @param window the number of the window
     * @param counts the number of requests, by client account
     */
    record Report(long window, Map<String, Long> counts) implements UsageStep {

        /** Makes a defensive copy of the map. */
        public Report {
            counts = Map.copyOf(counts);
        }
    }
}
