package org.carobdoor.bench.faults;

import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Records until when an injected fault may break the connections of each daemon. Thread-safe. */
final class ConnectionFaultWindows {
    private final Map<String, Instant> windowEnds = new ConcurrentHashMap<>();

    /** Extends the fault window of {@code node} to {@code until}, unless it already ends later. */
    void extend(String node, Instant until) {
        windowEnds.merge(node, until, (a, b) -> a.isAfter(b) ? a : b);
    }

    /** Returns whether the fault window of {@code node} ends after {@code start}. */
    boolean overlaps(String node, Instant start) {
        Instant until = windowEnds.get(node);
        return until != null && until.isAfter(start);
    }
}
