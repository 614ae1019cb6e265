package org.carobdoor.message;

import org.carobdoor.Bytes;

/**
 * Answers a {@link ClaimRequest} or a {@link ClaimUpdate}.
 *
 * @param outcome what became of the request
 * @param token the token that holds the claim; empty unless the outcome is about a record
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
        UNAVAILABLE
    }
}
