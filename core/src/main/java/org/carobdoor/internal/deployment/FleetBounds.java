package org.carobdoor.internal.deployment;

import java.util.Map;
import org.carobdoor.AvailabilityZone;

/**
 * Limits on the endpoints of a service that may be ordered, and their prices.
 *
 * @param minPerZone the minimum number of endpoints in a zone
 * @param maxPerZone the maximum number of endpoints in a zone, reclaimable and on-demand together
 * @param bootMillis the time from an order until a new endpoint serves requests
 * @param reclaimablePrice the price of a reclaimable endpoint, as a fraction of an on-demand one's
 * @param zonePrices the price of an on-demand endpoint per second, by zone
 */
public record FleetBounds(
        int minPerZone,
        int maxPerZone,
        long bootMillis,
        double reclaimablePrice,
        Map<AvailabilityZone, Double> zonePrices) {

    /** Copies the prices. */
    public FleetBounds {
        zonePrices = Map.copyOf(zonePrices);
    }
}
