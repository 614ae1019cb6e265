package org.carobdoor.clients.cloud;

import java.net.InetSocketAddress;
import org.carobdoor.AvailabilityZone;

/**
 * An entry VM in the platform's list.
 *
 * @param id the platform's identifier of the VM
 * @param zone its availability zone
 * @param address the IP address and port of its node, used as a membership seed
 * @param leaving whether the platform has announced that it will be reclaimed or stopped
 */
public record EntryVm(
        String id, AvailabilityZone zone, InetSocketAddress address, boolean leaving) {}
