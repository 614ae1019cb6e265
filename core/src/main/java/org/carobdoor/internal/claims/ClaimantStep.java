package org.carobdoor.internal.claims;

import java.time.Instant;
import org.carobdoor.message.ClaimMessage;

/** What the driver of a {@link Claimant} has to do next. */
public sealed interface ClaimantStep {

    /**
     * Send {@code message} and pass its reply on.
     *
     * @param candidate the place in the ranking of owners, from 0, to be taken modulo its length
     * @param message the request or the update
     * @param deadline until when to wait for the reply
     */
    record Ask(int candidate, ClaimMessage message, Instant deadline) implements ClaimantStep {}

    /** Ask for the next step again at {@code until}. */
    record Pause(Instant until) implements ClaimantStep {}

    /** Nothing; the claim is decided and its outcome reported as far as it is known. */
    record Idle() implements ClaimantStep {}
}
