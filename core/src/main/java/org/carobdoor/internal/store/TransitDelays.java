package org.carobdoor.internal.store;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Estimates how long messages of other nodes were under way, in queues, on links and unread.
 *
 * <p>The clocks of two nodes differ by an unknown but steady amount, so a message is late by as
 * much as this difference exceeds the least one of the sender's recent messages. Only recent
 * messages count, since clocks drift apart and a sender may be suspended: a link that is full for
 * longer than two periods looks like a quick one. Not thread-safe.
 */
public final class TransitDelays {
    /** A difference is compared with those of this and the previous period. */
    static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(60);

    private Map<String, Long> leastOfPeriod = new HashMap<>();
    private Map<String, Long> leastOfPrevious = new HashMap<>();
    private long periodEndsNanos;

    private TransitDelays(long nowNanos) {
        periodEndsNanos = nowNanos + PERIOD_NANOS;
    }

    /** Returns an instance that knows no sender. */
    public static TransitDelays create(long nowNanos) {
        return new TransitDelays(nowNanos);
    }

    /**
     * Records a message and returns by how much it took longer than the quickest recent one of its
     * sender, in nanoseconds; 0 for the first one.
     *
     * @param sender the run of the sender
     * @param sentNanos when it was sent, on the steady clock of the sender
     * @param arrivedNanos when it arrived, on that of this node
     */
    public long record(String sender, long sentNanos, long arrivedNanos) {
        if (arrivedNanos - periodEndsNanos >= 0) {
            boolean recent = arrivedNanos - periodEndsNanos < PERIOD_NANOS;
            leastOfPrevious = recent ? leastOfPeriod : new HashMap<>();
            leastOfPeriod = new HashMap<>();
            periodEndsNanos = arrivedNanos + PERIOD_NANOS;
        }
        long difference = arrivedNanos - sentNanos;
        long least = leastOfPeriod.merge(sender, difference, Math::min);
        Long before = leastOfPrevious.get(sender);
        return difference - (before == null ? least : Math.min(least, before));
    }
}
