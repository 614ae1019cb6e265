package org.carobdoor.internal.store;

import java.time.Duration;

/**
 * Determines how long a watch call of the store may wait for changes, when its connection is given
 * up, and when the next call follows a failure.
 *
 * <p>A connection can stop carrying bytes without being closed, so a watch that waits looks like
 * one whose reply is lost. The time from the last reply until the call is given up bounds how long
 * a node can be unaware of changes; it is derived from the limit that the deployment sets.
 *
 * <p>A store that is down may return right after a call has begun, and never answer that one. Until
 * it replies again, calls are therefore short, so that the limit holds from its return, too.
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
    private static final long MIN_RETRY_DELAY_NANOS = 100_000_000L;
    private static final long MAX_RETRY_DELAY_NANOS = 800_000_000L;
    private static final int MAX_DOUBLINGS = 3;
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
    private final long maxRetryDelayNanos;
    private long provenNanos;
    private int failures;

    private WatchSchedule(long limitNanos, long nowNanos) {
        budgetNanos = Math.max(2 * MIN_WAIT_NANOS, limitNanos - RECOVERY_NANOS);
        marginNanos = Math.min(MAX_MARGIN_NANOS, (long) (MARGIN_FRACTION * budgetNanos));
        maxRetryDelayNanos =
                Math.clamp(
                        budgetNanos - marginNanos - MIN_WAIT_NANOS,
                        MIN_RETRY_DELAY_NANOS,
                        MAX_RETRY_DELAY_NANOS);
        provenNanos = nowNanos;
    }

    /**
     * Returns a schedule.
     *
     * @param staleLimit the longest time without changes after the connection has failed silently,
     *     or after a store that was down has returned
     */
    public static WatchSchedule create(Duration staleLimit, long nowNanos) {
        return new WatchSchedule(staleLimit.toNanos(), nowNanos);
    }

    /** Returns the longest time from a reply until the next call is given up, in nanoseconds. */
    public long budgetNanos() {
        return budgetNanos;
    }

    /** Records that a reply has arrived, so that connections carried bytes until now. */
    public void recordReply(long nowNanos) {
        provenNanos = nowNanos;
        failures = 0;
    }

    /** Records that a call has failed; returns when to make the next one. */
    public long recordFailure(long nowNanos) {
        long delay = MIN_RETRY_DELAY_NANOS << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        return nowNanos + Math.min(delay, maxRetryDelayNanos);
    }

    /** Returns the call to make now. */
    public Call next(long nowNanos) {
        long sinceProof = Math.max(0, nowNanos - provenNanos);
        long wait = failures > 0 ? 0 : budgetNanos - marginNanos - sinceProof;
        wait = Math.clamp(wait, MIN_WAIT_NANOS, MAX_WAIT_NANOS);
        return new Call(wait / NANOS_PER_MILLI, nowNanos + wait + marginNanos);
    }
}
