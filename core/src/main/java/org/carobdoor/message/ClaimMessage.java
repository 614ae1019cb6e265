package org.carobdoor.message;

/** A message about the claim of a call that may not be repeated. */
public sealed interface ClaimMessage extends PeerMessage
        permits AnswerCopy,
                AnswerRead,
                AnswerReply,
                ClaimLookup,
                ClaimReply,
                ClaimRequest,
                ClaimUpdate {}
