package org.carobdoor.clients.cloud;

import org.carobdoor.AvailabilityZone;

/**
 * The price of a kind of VM.
 *
 * @param zone the availability zone
 * @param machineClass the platform's name of the machine class
 * @param reclaimable whether the price is that of reclaimable VMs, else of those on demand
 * @param pricePerHour the price in the platform's currency
 */
public record VmPrice(
        AvailabilityZone zone, String machineClass, boolean reclaimable, double pricePerHour) {}
