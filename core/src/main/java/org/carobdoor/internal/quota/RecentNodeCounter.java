package org.carobdoor.internal.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the nodes that may be granting quotas. A node that was seen recently still counts: it may
 * be partitioned from the other nodes and the store but not from its callers, and then continues to
 * grant its share.
 *
 * <p>Not thread-safe; confined to one thread.
 */
public final class RecentNodeCounter {
    /**
     * Time for which a node counts after it was last seen. It exceeds the length of a network
     * partition, and is short enough that the share of a lost node is soon used again.
     */
    private static final long RETENTION_NANOS = 30_000_000_000L;

    private final Map<String, Long> seenAtNanos = new HashMap<>();

    /** Returns a counter that knows no node. */
    public static RecentNodeCounter create() {
        return new RecentNodeCounter();
    }

    private RecentNodeCounter() {}

    /**
     * Records that these nodes are currently listed or heard from, and returns the number of nodes
     * that count.
     */
    public int count(Collection<String> present, long nowNanos) {
        present.forEach(name -> seenAtNanos.put(name, nowNanos));
        seenAtNanos.values().removeIf(at -> nowNanos - at > RETENTION_NANOS);
        return seenAtNanos.size();
    }
}
