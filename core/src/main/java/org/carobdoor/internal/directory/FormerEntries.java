package org.carobdoor.internal.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.store.StoreRevision;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints that were leaving or removed, by which the entries of a store that has come back
 * from an older copy are recognised as outdated.
 *
 * <p>Such a copy lists endpoints as accepting that have left since. An entry of the same start
 * whose sequence is not higher than the last known one is not used until the endpoint writes it
 * again, or until its registration has outlived the time in which it expires without its endpoint;
 * one that was known to be leaving stays out. Not thread-safe.
 */
final class FormerEntries {
    /** How long an endpoint is remembered; copies are seconds old. */
    private static final long MEMORY_NANOS = 600_000_000_000L;

    /**
     * An endpoint that has left or is leaving.
     *
     * @param last its last entry
     * @param leaving whether that entry says that it is leaving
     * @param revision the revision at which it was removed or has written that
     * @param sinceNanos when this node learned of it
     */
    private record Former(EndpointEntry last, boolean leaving, long revision, long sinceNanos) {}

    /** An entry that is held back. */
    private record HeldBack(EndpointEntry registered, long untilNanos) {}

    private final long expiryNanos;
    private final Map<EndpointId, Former> former = new HashMap<>();
    private final Map<EndpointId, HeldBack> heldBack = new HashMap<>();

    /**
     * Creates an instance.
     *
     * @param expiryNanos the time after which the entry of an endpoint that is gone has expired
     */
    FormerEntries(long expiryNanos) {
        this.expiryNanos = expiryNanos;
    }

    /** Records that the endpoint of {@code last} is leaving or was removed. */
    void record(EndpointEntry last, boolean leaving, long revision, long nowNanos) {
        Former known = former.get(last.id());
        boolean knownLeaving = known != null && known.leaving && known.last.isSameStartAs(last);
        former.put(last.id(), new Former(last, leaving || knownLeaving, revision, nowNanos));
        heldBack.remove(last.id());
    }

    /** Returns the entry to use for one that the store lists at {@code revision}. */
    EndpointEntry usable(EndpointEntry registered, long revision, long nowNanos) {
        Former f = former.get(registered.id());
        HeldBack earlier = heldBack.remove(registered.id());
        if (f == null || !registered.accepting()) {
            return registered;
        }
        if (!isOutdated(registered, revision, f)) {
            former.remove(registered.id());
            return registered;
        }
        if (!f.leaving || !isSameStart(registered, f.last)) {
            // An endpoint that does not count its writes is not held back longer by them.
            long until =
                    earlier != null && earlier.registered.equals(registered)
                            ? earlier.untilNanos
                            : nowNanos + expiryNanos;
            heldBack.put(registered.id(), new HeldBack(registered, until));
        }
        return registered.withoutAccepting();
    }

    private static boolean isOutdated(EndpointEntry registered, long revision, Former f) {
        boolean sameStart = isSameStart(registered, f.last);
        return StoreRevision.isLaterEra(revision, f.revision)
                && ((sameStart && registered.orderSequence() <= f.last.orderSequence())
                        || isEarlierStart(registered, f.last));
    }

    /** Returns whether two entries are of one start, in whatever order they were written. */
    static boolean isSameStart(EndpointEntry a, EndpointEntry b) {
        return a.startedAtMillis() == b.startedAtMillis();
    }

    /** Returns whether {@code later} is of an earlier start than {@code known}. */
    static boolean isEarlierStart(EndpointEntry later, @Nullable EndpointEntry known) {
        return known != null
                && later.startedAtMillis() != 0
                && later.startedAtMillis() < known.startedAtMillis();
    }

    /** Removes and returns the entries that are still listed after the time of expiry. */
    List<EndpointEntry> expire(long nowNanos) {
        former.values().removeIf(f -> nowNanos - f.sinceNanos > MEMORY_NANOS);
        List<EndpointEntry> alive = new ArrayList<>();
        heldBack.values().removeIf(h -> nowNanos - h.untilNanos >= 0 && alive.add(h.registered));
        return alive;
    }
}
