package org.carobdoor.internal.claims;

import java.time.Instant;
import org.carobdoor.internal.Preconditions;

/**
 * The record of a key in a claim log. A later record of the same key replaces an earlier one.
 *
 * @param key the hash of account, entry and idempotency key
 * @param token identifies the claimant that holds the claim
 * @param rememberUntil the end of the key's retention, in whole seconds
 * @param state the state of the claim
 * @param status the HTTP status of a call that is {@link ClaimState#DONE}, else 0
 * @param holder the identifier of the claimant's node
 */
public record ClaimRecord(
        Id128 key,
        Id128 token,
        Instant rememberUntil,
        ClaimState state,
        int status,
        String holder) {

    /**
     * Checks that only an answered call has a status and that the time has whole seconds, as in the
     * stored format.
     */
    public ClaimRecord {
        Preconditions.checkArgument(
                (state == ClaimState.DONE) == (status != 0),
                "a status must be set if and only if the call is done");
        Preconditions.checkArgument(
                rememberUntil.getNano() == 0, "rememberUntil must have whole seconds");
    }

    /** Returns the record of the same claim with its call answered with {@code status}. */
    public ClaimRecord done(int status) {
        return new ClaimRecord(key, token, rememberUntil, ClaimState.DONE, status, holder);
    }

    /** Returns the record of the same claim, released by its claimant. */
    public ClaimRecord released() {
        return new ClaimRecord(key, token, rememberUntil, ClaimState.RELEASED, 0, holder);
    }
}
