package org.carobdoor.internal.fleet;

import org.carobdoor.EndpointId;

/** What the driver is to do for a {@link FleetPlanner}. */
public sealed interface FleetAction {

    /**
     * Write {@code state} to {@code fleet/state} if its version is still {@code expectedVersion},
     * and call {@link FleetPlanner#onSaved}, {@link FleetPlanner#onLeaseLost} at a conflict with a
     * higher fencing number, or {@link FleetPlanner#onReloaded} after reading the key back.
     *
     * @param state what to write
     * @param expectedVersion the version to replace, 0 if the key must not exist
     */
    record Save(FleetState state, long expectedVersion) implements FleetAction {}

    /**
     * Place an order and call {@link FleetPlanner#onPlaced} or {@link FleetPlanner#onRefused}; call
     * neither if the outcome is unknown.
     *
     * @param order what to order
     * @param fencing the fencing number to send with it
     */
    record Place(FleetOrder order, long fencing) implements FleetAction {}

    /**
     * Release a VM.
     *
     * @param vm its identifier
     * @param fencing the fencing number to send with it
     */
    record Release(EndpointId vm, long fencing) implements FleetAction {}
}
