package org.carobdoor.internal.directory;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.carobdoor.AvailabilityZone;

/**
 * Tells an outage of the store, in which leases of running endpoints can expire, from trouble of
 * this node alone.
 *
 * <p>Both look alike from the calls of this node. While the store is down no other node learns of
 * changes, so a revision of theirs that rises well before this node reaches the store shows that
 * the store serves them, and that what it tells to be missing has left. A zone that this node does
 * not hear meanwhile cannot show that it is without the store too; its endpoints count as served.
 * Not thread-safe.
 */
final class StoreOutage {
    /** Calls that fail for less are not an outage. */
    private static final long MIN_FAILING_NANOS = 1_000_000_000L;

    /**
     * Time after the first failure until the other nodes have told the revisions that they knew
     * then: relayed statuses and batched changes are this old at most.
     */
    private static final long SETTLE_NANOS = 2_000_000_000L;

    /**
     * How much later than another node this one may reach the store again after an outage of all:
     * the longest delay between two calls, and the time to connect.
     */
    private static final long MAX_RETURN_SPREAD_NANOS = 1_500_000_000L;

    /** An entry expires after three heartbeats, the first of which may just have been due. */
    private static final int MIN_HEARTBEATS = 2;

    /** A zone that was not heard for longer before a failure has no nodes that could tell. */
    private static final long FORGET_ZONE_NANOS = 5_000_000_000L;

    private final long minSilenceNanos;
    private final Map<AvailabilityZone, ZoneContact> contacts = new HashMap<>();
    private boolean unavailable;
    private boolean lapsePossible;
    private boolean othersServed;
    private boolean othersWereServed;
    private boolean answeredBefore;
    private long lastReplyNanos;
    private long othersServedAtNanos;
    private long failingSinceNanos;
    private long heardRevision;
    private long graceEndsAtNanos;

    private StoreOutage(long minSilenceNanos) {
        this.minSilenceNanos = minSilenceNanos;
    }

    /**
     * Returns an instance that knows of no outage.
     *
     * @param heartbeat the interval at which endpoints renew their entries
     */
    static StoreOutage create(Duration heartbeat) {
        return new StoreOutage(MIN_HEARTBEATS * heartbeat.toNanos());
    }

    /** Records that a call has failed. */
    void recordFailure(long nowNanos) {
        if (!unavailable) {
            unavailable = true;
            othersServed = false;
            failingSinceNanos = nowNanos;
            contacts.values().removeIf(c -> c.silenceNanos(nowNanos) > FORGET_ZONE_NANOS);
            contacts.values().forEach(ZoneContact::recordFailure);
        }
    }

    /** Records that a node of a zone, which may be that of this node, has sent a message. */
    void recordZoneHeard(AvailabilityZone zone, long nowNanos) {
        ZoneContact c = contacts.computeIfAbsent(zone, z -> ZoneContact.begin(nowNanos));
        if (unavailable) {
            c.recordHeard(failingSinceNanos, nowNanos);
        } else {
            c.recordHeard(nowNanos);
        }
    }

    /**
     * Records that a call was answered.
     *
     * @param graceNanos how long missing entries may have expired in an outage that ends now
     */
    void recordReply(long nowNanos, long graceNanos) {
        othersWereServed = unavailable && wereOthersServed(nowNanos);
        if (unavailable) {
            unavailable = false;
            boolean longSilence = !answeredBefore || nowNanos - lastReplyNanos >= minSilenceNanos;
            lapsePossible =
                    nowNanos - failingSinceNanos >= MIN_FAILING_NANOS
                            && longSilence
                            && !othersWereServed;
            graceEndsAtNanos = nowNanos + graceNanos;
            contacts.values().forEach(c -> c.recordReply(failingSinceNanos, nowNanos));
        }
        answeredBefore = true;
        lastReplyNanos = nowNanos;
    }

    /** Records a store revision that another node knows. */
    void recordHeard(long revision, long nowNanos) {
        boolean settled = nowNanos - failingSinceNanos >= SETTLE_NANOS;
        boolean risen = heardRevision > 0 && revision > heardRevision;
        if (unavailable && settled && risen && !othersServed) {
            othersServed = true;
            othersServedAtNanos = nowNanos;
        }
        heardRevision = Math.max(heardRevision, revision);
    }

    /** Returns whether others had the store for longer than nodes differ in regaining it. */
    private boolean wereOthersServed(long nowNanos) {
        return othersServed && nowNanos - othersServedAtNanos > MAX_RETURN_SPREAD_NANOS;
    }

    /** Returns whether others had the store for some time before the last reply to this node. */
    boolean othersWereServed() {
        return othersWereServed;
    }

    /**
     * Returns whether an entry that is missing now may have expired in an outage.
     *
     * @param zone the zone of its endpoint
     */
    boolean isLapsePossible(AvailabilityZone zone, long nowNanos) {
        ZoneContact contact = contacts.get(zone);
        return !unavailable
                && lapsePossible
                && (contact == null || !contact.wasCutOff())
                && nowNanos - graceEndsAtNanos < 0;
    }

    /** Returns when the entries that are missing after the last outage get no more requests. */
    long graceEndsAtNanos() {
        return graceEndsAtNanos;
    }
}
