package org.carobdoor.internal.request;

/**
 * Bounds when the data of a connection arrived.
 *
 * <p>The first data of a connection may have arrived before the connection was accepted, so a late
 * acceptance counts for it too. Not thread-safe.
 */
public final class ConnectionArrival {
    private final PollClock polls;
    private long acceptedNanos;
    private long earliestNanos;

    private ConnectionArrival(PollClock polls) {
        this.polls = polls;
    }

    /** Returns the bounds of a connection of the loop that {@code polls} records. */
    public static ConnectionArrival create(PollClock polls) {
        return new ConnectionArrival(polls);
    }

    /** Records that the connection is accepted now. */
    public void accepted(long nowNanos) {
        acceptedNanos = nowNanos;
        earliestNanos = polls.earliestArrivalNanos(nowNanos);
    }

    /** Returns the earliest time at which data that is read now can have arrived. */
    public long ofDataReadAt(long nowNanos) {
        long earliest = polls.earliestArrivalNanos(nowNanos);
        boolean acceptedLate = earliestNanos != acceptedNanos;
        boolean mayHaveWaited = earliest - acceptedNanos <= PollClock.ON_TIME_NANOS;
        return acceptedLate && mayHaveWaited && earliestNanos - earliest < 0
                ? earliestNanos
                : earliest;
    }
}
