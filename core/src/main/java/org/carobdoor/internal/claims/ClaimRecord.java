package org.carobdoor.internal.claims;

import java.time.Instant;
import org.carobdoor.internal.Preconditions;

/**
 * The record of a key in a claim log. A later record of the same key replaces an earlier one.
 *
 * @param key the hash of account, entry and idempotency key
 * @param token the claimant that made the claim
 * @param rememberUntil until when the key is remembered, in whole seconds
 * @param state what is known about the call
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

    /** Checks that only an answered call has a status, and that the time is as it is stored. */
    public ClaimRecord {
        Preconditions.checkArgument(
                (state == ClaimState.DONE) == (status != 0), "only an answered call has a status");
        Preconditions.checkArgument(
                rememberUntil.getNano() == 0, "rememberUntil must be whole seconds");
    }

    /** Returns the record of the same claim after its call was answered with {@code status}. */
    public ClaimRecord done(int status) {
        return new ClaimRecord(key, token, rememberUntil, ClaimState.DONE, status, holder);
    }

    /** Returns the record of the same claim after its claimant gave it up. */
    public ClaimRecord released() {
        return new ClaimRecord(key, token, rememberUntil, ClaimState.RELEASED, 0, holder);
    }
}
