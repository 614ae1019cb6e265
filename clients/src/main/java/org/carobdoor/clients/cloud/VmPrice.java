package org.carobdoor.clients.cloud;

import org.carobdoor.AvailabilityZone;

/**
 * The price of a VM type.
 *
 * @param zone the availability zone
 * @param machineClass the platform's name of the machine class
 * @param reclaimable true for the price of reclaimable VMs, false for that of on-demand VMs
 * @param pricePerHour the price per hour in the platform's currency
 */
public record VmPrice(
        AvailabilityZone zone, String machineClass, boolean reclaimable, double pricePerHour) {}
