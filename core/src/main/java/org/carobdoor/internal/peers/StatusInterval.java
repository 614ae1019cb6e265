package org.carobdoor.internal.peers;

/**
 * The interval at which each node sends its status to all others. It grows with the cluster, so
 * that the message rate of a node stays bounded.
 */
public final class StatusInterval {
    /** The minimum interval, used in small clusters. */
    private static final long MIN_NANOS = 200_000_000L;

    /** Interval per node, which limits each node to 66 messages per second. */
    public static final long NANOS_PER_NODE = 15_000_000L;

    private StatusInterval() {}

    /** Returns the interval in a cluster of {@code nodes}, in nanoseconds. */
    public static long nanos(int nodes) {
        return Math.max(MIN_NANOS, NANOS_PER_NODE * nodes);
    }
}
