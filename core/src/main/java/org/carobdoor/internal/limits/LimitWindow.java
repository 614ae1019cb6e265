package org.carobdoor.internal.limits;

import java.time.Duration;
import java.time.Instant;

/**
 * One time window of a limit. The windows of all nodes begin at the same multiples of the window
 * length since the epoch.
 *
 * @param kind what the limit counts
 * @param begin when the window begins
 */
record LimitWindow(LimitKind kind, Instant begin) {

    static LimitWindow at(LimitKind kind, Instant now) {
        long length = kind.window().toMillis();
        long millis = now.toEpochMilli();
        return new LimitWindow(kind, Instant.ofEpochMilli(millis - Math.floorMod(millis, length)));
    }

    Instant end() {
        return begin.plus(kind.window());
    }

    /** Returns how much of {@code limit} may have been used by {@code now}. */
    long allowance(long limit, Instant now) {
        double elapsed = (double) Duration.between(begin, now).toNanos() / kind.window().toNanos();
        double fraction = Math.max(0, Math.min(1, kind.initialFraction() + elapsed));
        return (long) Math.floor(limit * fraction);
    }
}
