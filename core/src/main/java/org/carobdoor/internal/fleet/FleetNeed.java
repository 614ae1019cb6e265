package org.carobdoor.internal.fleet;

/**
 * The capacity that a fleet must have, in tokens per second.
 *
 * @param capacity the capacity that must remain after the largest availability zone is lost
 * @param onDemandCapacity the capacity that must remain if all reclaimable VMs are reclaimed at
 *     once
 */
public record FleetNeed(double capacity, double onDemandCapacity) {}
