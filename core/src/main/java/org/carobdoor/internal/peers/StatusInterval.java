package org.carobdoor.internal.peers;

/**
 * The interval at which each node sends its status. It grows with the cluster, so that the message
 * rate of a node stays bounded.
 */
public final class StatusInterval {
    /** The minimum interval, used in small clusters. */
    private static final long MIN_NANOS = 200_000_000L;

    /** Maximum age of a status per node, up to the limit of relayed statuses. */
    public static final long NANOS_PER_NODE = 15_000_000L;

    /**
     * Maximum interval of relayed statuses. Quotas are divided for the time between two reports, so
     * the age of reports must not grow further with the cluster.
     */
    private static final long MAX_RELAYED_NANOS = 750_000_000L;

    /** The largest cluster in which each node sends its status to each other node. */
    private static final int MAX_DIRECT_NODES = 24;

    /**
     * A status passes up to two relays, which forward it at their own intervals: a relay of the
     * zone of the node, and one of the zone of the receiver.
     */
    private static final int MAX_HOPS = 3;

    private StatusInterval() {}

    /** Returns whether statuses are relayed in a cluster of {@code nodes}. */
    public static boolean isRelayed(int nodes) {
        return nodes > MAX_DIRECT_NODES;
    }

    /** Returns the interval between two statuses of a node in a cluster of {@code nodes}. */
    public static long sendNanos(int nodes) {
        if (isRelayed(nodes)) {
            return Math.clamp(NANOS_PER_NODE * nodes / MAX_HOPS, MIN_NANOS, MAX_RELAYED_NANOS);
        }
        return Math.max(MIN_NANOS, NANOS_PER_NODE * nodes);
    }

    /**
     * Returns the age that the last status of another node may reach in a cluster of {@code nodes}
     * without faults, in nanoseconds.
     */
    public static long nanos(int nodes) {
        return isRelayed(nodes) ? MAX_HOPS * sendNanos(nodes) : sendNanos(nodes);
    }
}
