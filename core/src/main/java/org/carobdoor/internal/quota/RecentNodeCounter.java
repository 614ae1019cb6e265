package org.carobdoor.internal.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the nodes that may be granting quotas. A node that has fallen silent still counts for a
 * while: it can be cut off from the other nodes and the store, but not from its callers, and then
 * goes on granting its share.
 *
 * <p>Belongs to one thread.
 */
public final class RecentNodeCounter {
    /** Longer than a cut lasts, and short enough that the share of a lost node is used again. */
    private static final long KEPT_NANOS = 30_000_000_000L;

    private final Map<String, Long> seenAtNanos = new HashMap<>();

    /** Returns a census that knows no node. */
    public static RecentNodeCounter create() {
        return new RecentNodeCounter();
    }

    private RecentNodeCounter() {}

    /** Notes that these nodes are listed or heard now, and returns how many count. */
    public int count(Collection<String> present, long nowNanos) {
        present.forEach(name -> seenAtNanos.put(name, nowNanos));
        seenAtNanos.values().removeIf(at -> nowNanos - at > KEPT_NANOS);
        return seenAtNanos.size();
    }
}
