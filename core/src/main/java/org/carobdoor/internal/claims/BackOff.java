package org.carobdoor.internal.claims;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off with full jitter: a random delay below a bound that doubles with each
 * consecutive attempt.
 */
final class BackOff {
    /** Prevents an overflow of the shift; the bound reaches its maximum long before. */
    private static final int MAX_DOUBLINGS = 10;

    private final Duration base;
    private final Duration max;
    private final RandomGenerator random;
    private int attempts;

    BackOff(Duration base, Duration max, RandomGenerator random) {
        this.base = base;
        this.max = max;
        this.random = random;
    }

    /** Returns the delay before the next attempt. */
    Duration next() {
        attempts++;
        long doubled = base.toNanos() << Math.min(attempts, MAX_DOUBLINGS);
        return Duration.ofNanos(random.nextLong(Math.max(1, Math.min(doubled, max.toNanos()))));
    }

    void reset() {
        attempts = 0;
    }

    int attempts() {
        return attempts;
    }
}
