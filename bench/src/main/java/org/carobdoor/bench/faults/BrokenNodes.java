package org.carobdoor.bench.faults;

import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Remembers until when each daemon may break connections because of a fault. Thread-safe. */
final class BrokenNodes {
    private final Map<String, Instant> brokenUntil = new ConcurrentHashMap<>();

    /** Notes that connections of {@code node} may break until {@code until}. */
    void mark(String node, Instant until) {
        brokenUntil.merge(node, until, (a, b) -> a.isAfter(b) ? a : b);
    }

    /** Returns whether a fault explains that a stream, open since {@code start}, has broken. */
    boolean explains(String node, Instant start) {
        Instant until = brokenUntil.get(node);
        return until != null && until.isAfter(start);
    }
}
