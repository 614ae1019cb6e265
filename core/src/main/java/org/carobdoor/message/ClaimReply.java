package org.carobdoor.message;

import org.carobdoor.Bytes;

/**
 * Answers a {@link ClaimRequest}, a {@link ClaimUpdate} or a {@link ClaimLookup}.
 *
 * @param outcome the outcome of the request
 * @param token the token of the request if it holds the claim, else empty, because the token of
 *     another request is known only to its own node
 * @param status the HTTP status of a completed call, else 0
 * @param holder the node that holds the claim or stores its answer, empty if unknown
 */
public record ClaimReply(Outcome outcome, Bytes token, int status, String holder)
        implements ClaimMessage {

    /** The outcome of a claim message. */
    public enum Outcome {
        /** The token in the request holds the claim and no outcome is recorded. */
        GRANTED,
        /** Another token holds the claim and no outcome is recorded. */
        HELD,
        /** The call completed with the given status. */
        DONE,
        /** The receiver does not own the claim log; ask another node. */
        NOT_OWNER,
        /** The key-value service did not answer; the call must not be sent. */
        UNAVAILABLE,
        /**
         * The record of the key may have expired, so an earlier call with this key may have run.
         */
        TOO_OLD,
        /** The claim has been released, or was never made by this token. */
        RELEASED,
        /** No claim of the key is recorded. A claim can still be recorded later. */
        NOT_RECORDED
    }
}
