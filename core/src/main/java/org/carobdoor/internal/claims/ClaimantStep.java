package org.carobdoor.internal.claims;

import java.time.Instant;
import org.carobdoor.message.ClaimMessage;

/** The next action that the driver of a {@link Claimant} must perform. */
public sealed interface ClaimantStep {

    /**
     * Send {@code message} to an owner and pass the reply to {@link Claimant#onReply}.
     *
     * @param candidate the zero-based index in the ranking of owners, modulo the length of the
     *     ranking
     * @param message the claim request or the update
     * @param deadline when to stop waiting for the reply
     */
    record Ask(int candidate, ClaimMessage message, Instant deadline) implements ClaimantStep {}

    /** Call {@link Claimant#next} again at {@code until}. */
    record Pause(Instant until) implements ClaimantStep {}

    /** Nothing to do: the claim is decided, and its outcome, if known, has been reported. */
    record Idle() implements ClaimantStep {}
}
