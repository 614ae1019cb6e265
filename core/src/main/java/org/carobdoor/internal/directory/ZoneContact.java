package org.carobdoor.internal.directory;

/**
 * For how long the nodes of a zone were heard while the calls of this node to the store failed. Not
 * thread-safe.
 */
final class ZoneContact {
    /** Time between two messages from which the zone counts as not heard in between. */
    private static final long MAX_GAP_NANOS = 1_500_000_000L;

    private long lastNanos;
    private long heardNanos;
    private boolean cutOff;

    private ZoneContact(long nowNanos) {
        lastNanos = nowNanos;
    }

    /** Returns the contact with a zone whose first message arrives. */
    static ZoneContact begin(long nowNanos) {
        return new ZoneContact(nowNanos);
    }

    /** Records a message while the store answers this node. */
    void recordHeard(long nowNanos) {
        lastNanos = nowNanos;
    }

    /** Records a message while calls fail. */
    void recordHeard(long failingSinceNanos, long nowNanos) {
        heardNanos += sinceLastNanos(failingSinceNanos, nowNanos);
        lastNanos = nowNanos;
    }

    /** Records that calls begin to fail. */
    void recordFailure() {
        heardNanos = 0;
    }

    /** Records that the store answers again. */
    void recordReply(long failingSinceNanos, long nowNanos) {
        long heard = heardNanos + sinceLastNanos(failingSinceNanos, nowNanos);
        cutOff = heard < (nowNanos - failingSinceNanos) / 2;
    }

    /** Returns the time since the last message or a later failure, or 0 if it is too long. */
    private long sinceLastNanos(long failingSinceNanos, long nowNanos) {
        long from = lastNanos - failingSinceNanos > 0 ? lastNanos : failingSinceNanos;
        return nowNanos - from <= MAX_GAP_NANOS ? nowNanos - from : 0;
    }

    /** Returns the time since the last message, in nanoseconds. */
    long silenceNanos(long nowNanos) {
        return nowNanos - lastNanos;
    }

    /** Returns whether the zone was silent for most of the time of the last failure. */
    boolean wasCutOff() {
        return cutOff;
    }
}
