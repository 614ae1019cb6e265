package org.carobdoor.internal.peers;

import java.util.Collection;
import org.carobdoor.internal.quota.RecentNodeCounter;

/**
 * Counts the nodes that may be serving, and knows when the count is complete.
 *
 * <p>The entries of all nodes expire while the store is away. A node that starts then and reads the
 * list as soon as the store is back finds no other node, although the others continue to serve and
 * register again only after it. Their entries precede the renewal of its own.
 *
 * <p>Not thread-safe; confined to one thread.
 */
public final class NodeCensus {
    private final RecentNodeCounter counter = RecentNodeCounter.create();
    private boolean complete;

    private NodeCensus(boolean complete) {
        this.complete = complete;
    }

    /**
     * Returns the census of a node that has just started.
     *
     * @param firstStart whether the whole cluster starts for the first time, so that no other node
     *     can have served before
     */
    public static NodeCensus create(boolean firstStart) {
        return new NodeCensus(firstStart);
    }

    /** Records that the store has renewed the lease of this node, which is listed. */
    public void recordRenewed() {
        complete = true;
    }

    /** Returns whether the count includes the nodes that served when this node started. */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Records that these nodes are listed or heard from; returns the number that may be serving.
     */
    public int count(Collection<String> present, long nowNanos) {
        return counter.count(present, nowNanos);
    }
}
