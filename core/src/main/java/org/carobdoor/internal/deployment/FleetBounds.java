package org.carobdoor.internal.deployment;

import java.util.Map;
import org.carobdoor.AvailabilityZone;

/**
 * Within which bounds the endpoints of a service may be ordered, and what they cost.
 *
 * @param minPerZone the least number of endpoints in a zone
 * @param maxPerZone the greatest number of endpoints in a zone, reclaimable and lasting together
 * @param bootMillis the time from an order until a new endpoint serves
 * @param reclaimablePrice the price of a reclaimable endpoint, as a share of a lasting one's
 * @param zonePrices the price of a lasting endpoint for a second, by zone
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
