package org.carobdoor.internal.placement;

import java.util.Collection;
import org.carobdoor.AvailabilityZone;

/**
 * Chooses the endpoint of a plain service with the shortest expected time to the answer: the time
 * that its answers take, stretched by the requests that share its slots.
 *
 * <p>Load answered: short requests over endpoints of different speed, some of which turn slow or
 * fill their queue.
 */
public final class PlainPlacement {
    /** The round trip between zones, in milliseconds. */
    private static final double OTHER_ZONE_MILLIS = 2;

    /** Added for an endpoint that is silent with work outstanding: it may be dead. */
    private static final double SUSPECT_MILLIS = 2_000;

    /** The least time that a refused request is told to wait, in milliseconds. */
    private static final long MIN_RETRY_MILLIS = 100;

    private PlainPlacement() {}

    /**
     * Chooses among {@code endpoints}, which are those that may get new requests.
     *
     * @param zone the zone of this node
     * @param patienceMillis the longest time to the answer that is worth waiting for
     */
    public static Placement choose(
            Collection<EndpointLoad> endpoints,
            AvailabilityZone zone,
            double patienceMillis,
            long nowNanos) {
        EndpointLoad best = null;
        double bestMillis = Double.MAX_VALUE;
        for (EndpointLoad e : endpoints) {
            int slots = Math.max(1, e.entry().slots());
            double rounds = Math.max(1, (e.runningEverywhere() + 1.0) / slots);
            double crowding = (double) e.runningEverywhere() / slots;
            double millis = e.answerMillis() * (rounds + crowding);
            if (!e.entry().zone().equals(zone)) {
                millis += OTHER_ZONE_MILLIS;
            }
            if (e.isSuspect(nowNanos)) {
                millis += SUSPECT_MILLIS;
            }
            if (millis < bestMillis) {
                best = e;
                bestMillis = millis;
            }
        }
        if (best == null) {
            return new Placement.NoEndpoint();
        }
        if (bestMillis > patienceMillis) {
            long excess = Math.round(bestMillis - patienceMillis);
            return new Placement.Saturated(Math.max(MIN_RETRY_MILLIS, excess));
        }
        return new Placement.Chosen(best, bestMillis, 0);
    }
}
