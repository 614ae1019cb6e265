package org.carobdoor.internal.fleet;

import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointState;

/**
 * An endpoint VM as the platform lists it.
 *
 * @param id its identifier
 * @param offer what was bought, at its present price
 * @param state where it is in its life
 */
public record FleetVm(EndpointId id, Offer offer, EndpointState state) {

    /** Returns whether it serves or will serve. */
    public boolean counts() {
        return state == EndpointState.STARTING || state == EndpointState.LIVE;
    }
}
