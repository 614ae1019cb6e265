package org.carobdoor.internal.rollout;

import java.util.Optional;

/**
 * The operator's order to move the requests of a service to another version.
 *
 * @param service the service
 * @param to the version that is to get the requests
 * @param durationMillis the time from the order to its deadline; 0 if the order is invalid
 * @param revision store revision of the order
 * @param problem why the order cannot be carried out; empty if it is valid
 */
public record RolloutOrder(
        String service, String to, long durationMillis, long revision, Optional<String> problem) {

    /** Returns whether {@code state} is the state of this order, possibly of an earlier copy. */
    public boolean isOrderOf(RolloutState state) {
        return state.orderRevision() >= revision
                || (to.equals(state.to()) && durationMillis == state.durationMillis());
    }
}
