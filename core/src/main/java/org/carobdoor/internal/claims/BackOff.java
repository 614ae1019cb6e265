package org.carobdoor.internal.claims;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Waits for a random time below a bound that doubles with each attempt in a row ("full jitter").
 */
final class BackOff {
    /** Keeps the shift from overflowing; the bound has reached its maximum long before. */
    private static final int MAX_DOUBLINGS = 10;

    private final Duration base;
    private final Duration most;
    private final RandomGenerator random;
    private int attempts;

    BackOff(Duration base, Duration most, RandomGenerator random) {
        this.base = base;
        this.most = most;
        this.random = random;
    }

    /** Returns how long to wait before the next attempt. */
    Duration next() {
        attempts++;
        long doubled = base.toNanos() << Math.min(attempts, MAX_DOUBLINGS);
        return Duration.ofNanos(random.nextLong(Math.max(1, Math.min(doubled, most.toNanos()))));
    }

    void reset() {
        attempts = 0;
    }

    int attempts() {
        return attempts;
    }
}
