package org.carobdoor.internal.placement;

import org.carobdoor.AvailabilityZone;
import org.jspecify.annotations.Nullable;

/** Keeps the endpoint with the shortest expected time among those offered. */
final class BestChoice {
    /** The round trip between zones, in milliseconds. */
    private static final double OTHER_ZONE_MILLIS = 2;

    private final AvailabilityZone zone;
    private @Nullable EndpointLoad best;
    private double bestMillis = Double.MAX_VALUE;
    private int bestUnread;
    private boolean anyFull;

    /** Creates a choice of a node in {@code zone}. */
    BestChoice(AvailabilityZone zone) {
        this.zone = zone;
    }

    /**
     * Offers an endpoint, which is passed over if it is full; the way to another zone is added to
     * {@code millis}.
     */
    void offer(EndpointLoad e, double millis, int unread) {
        if (e.isFull()) {
            anyFull = true;
            return;
        }
        double total = e.entry().zone().equals(zone) ? millis : millis + OTHER_ZONE_MILLIS;
        if (total < bestMillis) {
            best = e;
            bestMillis = total;
            bestUnread = unread;
        }
    }

    /**
     * Returns the best endpoint, unless its time exceeds {@code patienceMillis}.
     *
     * @param minRetryMillis the least time that a refused request is told to wait
     */
    Placement result(double patienceMillis, long minRetryMillis) {
        if (best == null) {
            return anyFull ? new Placement.Saturated(minRetryMillis) : new Placement.NoEndpoint();
        }
        if (bestMillis > patienceMillis) {
            long excess = Math.round(bestMillis - patienceMillis);
            return new Placement.Saturated(Math.max(minRetryMillis, excess));
        }
        return new Placement.Chosen(best, bestMillis, bestUnread);
    }
}
