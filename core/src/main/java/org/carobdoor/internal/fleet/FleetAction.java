package org.carobdoor.internal.fleet;

import org.carobdoor.EndpointId;

/** An action that the driver must perform for a {@link FleetPlanner}. */
public sealed interface FleetAction {

    /**
     * Write {@code state} to {@code fleet/state} if its version is still {@code expectedVersion}.
     * Then call {@link FleetPlanner#onSaved}; or {@link FleetPlanner#onLeaseLost} after a conflict
     * with a higher fencing token; or {@link FleetPlanner#onReloaded} after reading the key back.
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
     * @param fencing the fencing token to send with the order
     */
    record Place(FleetOrder order, long fencing) implements FleetAction {}

    /**
     * Release a VM.
     *
     * @param vm its identifier
     * @param fencing the fencing token to send with the release
     */
    record Release(EndpointId vm, long fencing) implements FleetAction {}
}
