package org.carobdoor.internal.directory;

import java.util.concurrent.TimeUnit;

/**
 * The time at which a node's list of endpoints was last known to be complete.
 *
 * <p>It counts from when the store answered this node, or the node that passed its changes on, and
 * not from when the message was read. Not thread-safe.
 */
public final class DirectoryFreshness {
    /** Time in which a node replaces connections that were reset, and has an answer again. */
    private static final long RECONNECT_NANOS = 500_000_000L;

    private final long maxAgeNanos;
    private long provenNanos;
    private boolean failing;
    private long failingSinceNanos;

    private DirectoryFreshness(long maxAgeNanos, long nowNanos) {
        this.maxAgeNanos = maxAgeNanos;
        this.provenNanos = nowNanos;
    }

    /**
     * Returns an instance that counts from {@code nowNanos}.
     *
     * @param maxAgeNanos the age after which the list may lack changes
     */
    public static DirectoryFreshness create(long maxAgeNanos, long nowNanos) {
        return new DirectoryFreshness(maxAgeNanos, nowNanos);
    }

    /**
     * Records that the list was complete at a time.
     *
     * @param atNanos when the store's answer was given, as far as this node can tell
     */
    public void recordProof(long atNanos) {
        failing = false;
        if (atNanos - provenNanos > 0) {
            provenNanos = atNanos;
        }
    }

    /** Records that a call of the store failed. */
    public void recordFailure(long nowNanos) {
        if (!failing) {
            failing = true;
            failingSinceNanos = nowNanos;
        }
    }

    /** Returns whether the store has not answered for longer than it takes to connect again. */
    public boolean isStoreLost(long nowNanos) {
        return isOld(nowNanos) || failing && nowNanos - failingSinceNanos > RECONNECT_NANOS;
    }

    /** Returns whether the list may lack changes. */
    public boolean isStale(long nowNanos) {
        return failing || isOld(nowNanos);
    }

    private boolean isOld(long nowNanos) {
        return nowNanos - provenNanos > maxAgeNanos;
    }

    /** Returns the time since the list was last known to be complete, in milliseconds. */
    public long ageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - provenNanos);
    }
}
