package org.carobdoor.internal.fleet;

import java.time.Duration;

/**
 * Settings of a {@link FleetPlanner}.
 *
 * @param orderInterval the mean interval between orders, over all holders of the lease
 * @param burst orders that may be placed at once after a quiet time
 * @param resendAfter after how long an order without a known outcome is placed again
 * @param startWithin how long an ordered VM may take to appear as live before it is written off
 * @param backOffBase how long an offer is left alone after its first refusal
 * @param backOffMax the longest time that an offer is left alone
 * @param releaseAfter how long capacity must be in excess before a VM is released
 */
public record FleetSettings(
        Duration orderInterval,
        int burst,
        Duration resendAfter,
        Duration startWithin,
        Duration backOffBase,
        Duration backOffMax,
        Duration releaseAfter) {

    /** Returns the settings that are in force unless an operator changes them. */
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
