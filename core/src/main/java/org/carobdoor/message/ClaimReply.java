package org.carobdoor.message;

import org.carobdoor.Bytes;

/**
 * Answers a {@link ClaimRequest}, a {@link ClaimUpdate} or a {@link ClaimLookup}.
 *
 * @param outcome what became of the request
 * @param token the token of the request if it holds the claim, else empty: the token of another
 *     request stays known to its node only
 * @param status the HTTP status of a done call, else 0
 * @param holder the node that holds the claim or keeps its answer; empty if not known
 */
public record ClaimReply(Outcome outcome, Bytes token, int status, String holder)
        implements ClaimMessage {

    /** What became of a claim request. */
    public enum Outcome {
        /** The token in the request holds the claim and no outcome is recorded. */
        GRANTED,
        /** Another token holds the claim and no outcome is recorded. */
        HELD,
        /** The call is done with the given status. */
        DONE,
        /** The receiver does not own the log; ask another node. */
        NOT_OWNER,
        /** The key-value service did not answer; nothing may be sent. */
        UNAVAILABLE,
        /** The key may have been forgotten, so an earlier call with it may have run. */
        TOO_OLD,
        /** The claim has been released, or was never made by this token. */
        RELEASED,
        /** No claim of the key is recorded. It is no proof that none will be. */
        NOT_RECORDED
    }
}
