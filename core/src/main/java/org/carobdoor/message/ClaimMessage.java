package org.carobdoor.message;

/** A message about the claim of a call that must not be executed twice. */
public sealed interface ClaimMessage extends PeerMessage
        permits AnswerCopy,
                AnswerRead,
                AnswerReply,
                ClaimLookup,
                ClaimReply,
                ClaimRequest,
                ClaimUpdate {}
