package org.carobdoor.internal.fleet;

import org.carobdoor.AvailabilityZone;

/**
 * What the platform sells.
 *
 * @param zone the availability zone
 * @param machineClass the platform's name of the machine class
 * @param reclaimable whether the platform may reclaim the VM
 * @param pricePerHour the price
 * @param capacity what a VM of this class can serve within the objectives, in tokens a second
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

    /** Returns whether {@code other} is the same thing at whatever price. */
    public boolean isSameKind(Offer other) {
        return zone.equals(other.zone)
                && machineClass.equals(other.machineClass)
                && reclaimable == other.reclaimable;
    }
}
