package org.carobdoor.internal.placement;

import java.util.Collection;
import org.carobdoor.AvailabilityZone;

/**
 * Chooses the endpoint of a plain service with the shortest expected time to the answer, which is
 * its average answer time scaled by the number of requests that share its slots.
 *
 * <p>This policy is designed for short requests to endpoints of different speed, some of which slow
 * down or fill their queue.
 */
public final class PlainPlacement {
    /** Penalty for an endpoint that is silent with work outstanding and may be dead. */
    private static final double SUSPECT_PENALTY_MILLIS = 2_000;

    /** Minimum retry delay returned with a refusal. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private PlainPlacement() {}

    /**
     * Chooses among {@code endpoints}, the endpoints that accept new requests.
     *
     * @param zone the availability zone of this node
     * @param maxExpectedMillis maximum acceptable time to the answer
     */
    public static Placement choose(
            Collection<EndpointLoad> endpoints,
            AvailabilityZone zone,
            double maxExpectedMillis,
            long nowNanos) {
        FastestEndpointSelector selector = new FastestEndpointSelector(zone);
        for (EndpointLoad endpoint : endpoints) {
            int slots = Math.max(1, endpoint.entry().slots());
            double queueFactor = Math.max(1, (endpoint.totalRunning() + 1.0) / slots);
            double utilization = (double) endpoint.totalRunning() / slots;
            double millis = endpoint.answerMillis() * (queueFactor + utilization);
            if (endpoint.isSuspect(nowNanos)) {
                millis += SUSPECT_PENALTY_MILLIS;
            }
            selector.addCandidate(endpoint, millis, 0);
        }
        return selector.result(maxExpectedMillis, MIN_RETRY_AFTER_MILLIS);
    }
}
