package org.carobdoor.internal.fleet;

import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointState;

/**
 * An endpoint VM as the platform lists it.
 *
 * @param id its identifier
 * @param offer the offer it was ordered from, at the current price
 * @param state its lifecycle state
 */
public record FleetVm(EndpointId id, Offer offer, EndpointState state) {

    /** Returns whether the VM counts as capacity: it serves requests or is starting. */
    public boolean counts() {
        return state == EndpointState.STARTING || state == EndpointState.LIVE;
    }
}
