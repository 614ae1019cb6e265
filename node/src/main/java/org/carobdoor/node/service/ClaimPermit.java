package org.carobdoor.node.service;

import org.carobdoor.internal.claims.Id128;
import org.carobdoor.node.claims.ClaimService;

/**
 * Permits sends of a call that is claimed by this node.
 *
 * @param claims the service that granted the claim
 * @param token the token that holds it
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
