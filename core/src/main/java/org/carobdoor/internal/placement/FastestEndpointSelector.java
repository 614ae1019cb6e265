package org.carobdoor.internal.placement;

import org.carobdoor.AvailabilityZone;
import org.jspecify.annotations.Nullable;

/** Selects the candidate endpoint with the shortest expected time. */
final class FastestEndpointSelector {
    /** Round-trip time between availability zones. */
    private static final double CROSS_ZONE_ROUND_TRIP_MILLIS = 2;

    private final AvailabilityZone zone;
    private @Nullable EndpointLoad best;
    private double bestMillis = Double.MAX_VALUE;
    private int bestUnreadTokens;
    private boolean hasFullEndpoint;

    /** Creates a selector for a node in {@code zone}. */
    FastestEndpointSelector(AvailabilityZone zone) {
        this.zone = zone;
    }

    /**
     * Adds a candidate, which is skipped if it is full. The round trip to another zone is added to
     * {@code millis}.
     */
    void addCandidate(EndpointLoad endpoint, double millis, int unreadTokens) {
        if (endpoint.isFull()) {
            hasFullEndpoint = true;
            return;
        }
        double totalMillis =
                endpoint.entry().zone().equals(zone)
                        ? millis
                        : millis + CROSS_ZONE_ROUND_TRIP_MILLIS;
        if (totalMillis < bestMillis) {
            best = endpoint;
            bestMillis = totalMillis;
            bestUnreadTokens = unreadTokens;
        }
    }

    /**
     * Returns the fastest candidate, or a refusal if its expected time exceeds {@code
     * maxExpectedMillis}.
     *
     * @param minRetryAfterMillis minimum retry delay returned with a refusal
     */
    Placement result(double maxExpectedMillis, long minRetryAfterMillis) {
        if (best == null) {
            return hasFullEndpoint
                    ? new Placement.Saturated(minRetryAfterMillis)
                    : new Placement.NoEndpoint();
        }
        if (bestMillis > maxExpectedMillis) {
            long excessMillis = Math.round(bestMillis - maxExpectedMillis);
            return new Placement.Saturated(Math.max(minRetryAfterMillis, excessMillis));
        }
        return new Placement.Chosen(best, bestMillis, bestUnreadTokens);
    }
}
