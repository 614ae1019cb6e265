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
        BestChoice choice = new BestChoice(zone);
        for (EndpointLoad e : endpoints) {
            int slots = Math.max(1, e.entry().slots());
            double rounds = Math.max(1, (e.runningEverywhere() + 1.0) / slots);
            double crowding = (double) e.runningEverywhere() / slots;
            double millis = e.answerMillis() * (rounds + crowding);
            if (e.isSuspect(nowNanos)) {
                millis += SUSPECT_MILLIS;
            }
            choice.offer(e, millis, 0);
        }
        return choice.result(patienceMillis, MIN_RETRY_MILLIS);
    }
}
