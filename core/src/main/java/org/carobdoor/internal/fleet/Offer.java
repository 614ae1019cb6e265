package org.carobdoor.internal.fleet;

import org.carobdoor.AvailabilityZone;

/**
 * A kind of VM that the platform offers.
 *
 * @param zone the availability zone
 * @param machineClass the platform's name of the machine class
 * @param reclaimable whether the platform may reclaim the VM
 * @param pricePerHour the price per hour
 * @param capacity what a VM of this class can serve within the objectives, in tokens per second
 */
public record Offer(
        AvailabilityZone zone,
        String machineClass,
        boolean reclaimable,
        double pricePerHour,
        double capacity) {

    /** Returns the price of one unit of capacity. */
    public double unitPrice() {
        return pricePerHour / capacity;
    }

    /**
     * Returns whether {@code other} has the same zone, machine class and reclaimability; the prices
     * may differ.
     */
    public boolean isSameKind(Offer other) {
        return zone.equals(other.zone)
                && machineClass.equals(other.machineClass)
                && reclaimable == other.reclaimable;
    }
}
