package org.carobdoor.clients.cloud;

import org.carobdoor.AvailabilityZone;

/**
 * An order for one VM.
 *
 * @param clientToken a unique token of the order; an order with the same token starts no second VM
 * @param zone the availability zone to start the VM in
 * @param machineClass the platform's name of the machine class
 * @param reclaimable true for a reclaimable VM, false for an on-demand VM
 * @param fencing the fencing token of the lease {@code fleet}
 */
public record VmOrder(
        String clientToken,
        AvailabilityZone zone,
        String machineClass,
        boolean reclaimable,
        long fencing) {}
