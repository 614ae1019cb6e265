package org.carobdoor.internal.peers;

/**
 * How often each node tells all others its status. The interval grows with the group, so that the
 * messages of one node stay bounded.
 */
public final class StatusInterval {
    /** The interval of a small group, in nanoseconds. */
    private static final long MIN_NANOS = 200_000_000L;

    /** Each node lengthens the interval by this much: at most 66 messages a second. */
    public static final long NANOS_PER_NODE = 15_000_000L;

    private StatusInterval() {}

    /** Returns the interval of a group of {@code nodes}, in nanoseconds. */
    public static long nanos(int nodes) {
        return Math.max(MIN_NANOS, NANOS_PER_NODE * nodes);
    }
}
