package org.carobdoor.clients.cloud;

import org.carobdoor.AvailabilityZone;

/**
 * An order of one VM.
 *
 * @param clientToken a unique token of the order; a repeated one makes no second VM
 * @param zone where to start it
 * @param machineClass the platform's name of the machine class
 * @param reclaimable whether the platform may reclaim the VM, else it is on demand
 * @param fencing the fencing number of the lease {@code fleet}
 */
public record VmOrder(
        String clientToken,
        AvailabilityZone zone,
        String machineClass,
        boolean reclaimable,
        long fencing) {}
