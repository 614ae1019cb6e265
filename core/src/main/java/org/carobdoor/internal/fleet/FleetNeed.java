package org.carobdoor.internal.fleet;

/**
 * The capacity to keep, in tokens a second.
 *
 * @param capacity what must be left after the largest availability zone is lost
 * @param onDemandCapacity what must be left if all reclaimable VMs go at once
 */
public record FleetNeed(double capacity, double onDemandCapacity) {}
