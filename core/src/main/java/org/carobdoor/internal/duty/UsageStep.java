package org.carobdoor.internal.duty;

import java.util.Map;

/** What the holder of the duties does next about the usage reports. */
public sealed interface UsageStep {

    /** Nothing. */
    record Wait() implements UsageStep {}

    /**
     * Write the counts of a window to the store, so that every later report of it is the same.
     *
     * @param windows all recorded windows with the new one
     */
    record Record(Map<Long, Map<String, Long>> windows) implements UsageStep {

        /** Copies the map. */
        public Record {
            windows = Map.copyOf(windows);
        }
    }

    /**
     * Report a recorded window to the platform.
     *
     * @param window the window
     * @param counts the requests of each client account
     */
    record Report(long window, Map<String, Long> counts) implements UsageStep {

        /** Copies the map. */
        public Report {
            counts = Map.copyOf(counts);
        }
    }
}
