package org.carobdoor.node.service;

import org.carobdoor.internal.claims.Id128;
import org.carobdoor.node.claims.ClaimService;

/**
 * A permit for a call whose idempotency key this node has claimed.
 *
 * @param claims the service that granted the claim
 * @param token the token of the claim
 */
public record ClaimPermit(ClaimService claims, Id128 token) implements SendPermit {

    @Override
    public boolean beginSend() {
        return claims.beginSend(token);
    }

    @Override
    public void notSent() {
        claims.notSent(token);
    }
}
