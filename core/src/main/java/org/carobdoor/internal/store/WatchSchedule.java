package org.carobdoor.internal.store;

import java.time.Duration;

/**
 * Determines how long a watch call of the store may wait for changes, and when its connection is
 * given up.
 *
 * <p>A connection can stop carrying bytes without being closed, so a watch that waits looks like
 * one whose reply is lost. The time from the last reply until the call is given up bounds how long
 * a node can be unaware of changes; it is derived from the limit that the deployment sets.
 *
 * <p>Not thread-safe.
 */
public final class WatchSchedule {
    /** Part of the limit reserved for the next call, on a new connection. */
    private static final long RECOVERY_NANOS = 400_000_000L;

    /** Fraction of the remaining time by which a slow store may exceed the wait. */
    private static final double MARGIN_FRACTION = 0.4;

    private static final long MAX_MARGIN_NANOS = 1_200_000_000L;
    private static final long MIN_WAIT_NANOS = 200_000_000L;
    private static final long MAX_WAIT_NANOS = 8_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * A watch call.
     *
     * @param waitMillis how long the store may delay the reply
     * @param giveUpNanos when the call fails, on the clock of the caller
     */
    public record Call(long waitMillis, long giveUpNanos) {}

    private final long budgetNanos;
    private final long marginNanos;
    private long provenNanos;

    private WatchSchedule(long limitNanos, long nowNanos) {
        budgetNanos = Math.max(2 * MIN_WAIT_NANOS, limitNanos - RECOVERY_NANOS);
        marginNanos = Math.min(MAX_MARGIN_NANOS, (long) (MARGIN_FRACTION * budgetNanos));
        provenNanos = nowNanos;
    }

    /**
     * Returns a schedule.
     *
     * @param staleLimit the longest time without changes after the connection has failed silently
     */
    public static WatchSchedule create(Duration staleLimit, long nowNanos) {
        return new WatchSchedule(staleLimit.toNanos(), nowNanos);
    }

    /** Returns the longest time from a reply until the next call is given up, in nanoseconds. */
    public long budgetNanos() {
        return budgetNanos;
    }

    /**
     * Records that a reply has arrived, so that connections carried bytes until now, or that a call
     * has failed, so that the next one uses a new connection.
     */
    public void restart(long nowNanos) {
        provenNanos = nowNanos;
    }

    /** Returns the call to make now. */
    public Call next(long nowNanos) {
        long sinceProof = Math.max(0, nowNanos - provenNanos);
        long wait = budgetNanos - marginNanos - sinceProof;
        wait = Math.clamp(wait, MIN_WAIT_NANOS, MAX_WAIT_NANOS);
        return new Call(wait / NANOS_PER_MILLI, nowNanos + wait + marginNanos);
    }
}
