package org.carobdoor.internal.fleet;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.EndpointId;

/**
 * An order of one VM.
 *
 * @param clientToken makes the order idempotent at the platform
 * @param offer what is ordered
 * @param resendAt when to place the order again if its outcome is still unknown
 * @param lostAt when to abandon the order
 * @param vm the VM, once the platform has confirmed the order
 */
public record FleetOrder(
        String clientToken,
        Offer offer,
        Instant resendAt,
        Instant lostAt,
        Optional<EndpointId> vm) {

    FleetOrder resentUntil(Instant at) {
        return new FleetOrder(clientToken, offer, at, lostAt, vm);
    }

    FleetOrder confirmed(EndpointId id) {
        return new FleetOrder(clientToken, offer, resendAt, lostAt, Optional.of(id));
    }
}
