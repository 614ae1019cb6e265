package org.carobdoor.internal.fleet;

import java.time.Duration;

/**
 * Settings of a {@link FleetPlanner}.
 *
 * @param orderInterval the minimum mean interval between orders, across all holders of the lease
 * @param burst orders that may be placed at once after a period without orders
 * @param resendAfter delay after which an order with an unknown outcome is placed again
 * @param startWithin time in which an ordered VM must be listed before the order is abandoned
 * @param backOffBase back-off time of an offer after its first refusal
 * @param backOffMax the maximum back-off time of an offer
 * @param releaseAfter time for which capacity must be in excess before a VM is released
 */
public record FleetSettings(
        Duration orderInterval,
        int burst,
        Duration resendAfter,
        Duration startWithin,
        Duration backOffBase,
        Duration backOffMax,
        Duration releaseAfter) {

    /** Returns the default settings, which apply unless an operator changes them. */
    public static FleetSettings defaults() {
        return new FleetSettings(
                Duration.ofSeconds(2),
                10,
                Duration.ofSeconds(10),
                Duration.ofMinutes(5),
                Duration.ofSeconds(5),
                Duration.ofMinutes(5),
                Duration.ofMinutes(10));
    }
}
