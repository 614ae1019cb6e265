package org.carobdoor.internal.request;

import java.util.concurrent.TimeUnit;

/**
 * Bounds how long data has waited before an event loop read it.
 *
 * <p>A poll reports all sockets with data, so what is read after a poll arrived no earlier than the
 * poll before it. While the loop is on time, the difference is negligible and data counts as having
 * arrived when it is read; a loop that was held up cannot tell when within that span it arrived.
 * Not thread-safe.
 */
public final class PollClock {
    /** Exceeds two polls that wait for the shortest periodic task of a node. */
    public static final long ON_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** A request read late waits for another turn once the present one has lasted this long. */
    private static final long BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private int polls;
    private long previousPollNanos;
    private long pollNanos;

    private PollClock() {}

    /** Returns a clock of a loop that has not polled yet, and is on time until it has twice. */
    public static PollClock create() {
        return new PollClock();
    }

    /**
     * Records that a poll begins.
     *
     * @return the time since the last poll began, in nanoseconds; 0 for the first one
     */
    public long recordPoll(long nowNanos) {
        previousPollNanos = polls == 0 ? nowNanos : pollNanos;
        pollNanos = nowNanos;
        polls = Math.min(2, polls + 1);
        return pollNanos - previousPollNanos;
    }

    /** Returns whether data that is read now may have waited for longer than usual. */
    public boolean isLate(long nowNanos) {
        return polls == 2 && nowNanos - previousPollNanos > ON_TIME_NANOS;
    }

    /** Returns whether more may lie unread now than what the present turn began with. */
    public boolean isBehind(long nowNanos) {
        return polls == 2 && nowNanos - pollNanos > BEHIND_NANOS;
    }

    /** Returns the earliest time at which data that is read now can have arrived. */
    public long earliestArrivalNanos(long nowNanos) {
        return isLate(nowNanos) ? previousPollNanos : nowNanos;
    }

    /** Returns the longest time for which data that is read now can have waited, in nanoseconds. */
    public long maxWaitNanos(long nowNanos) {
        return nowNanos - earliestArrivalNanos(nowNanos);
    }
}
