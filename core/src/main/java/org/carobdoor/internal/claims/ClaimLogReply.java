package org.carobdoor.internal.claims;

import org.carobdoor.message.ClaimReply;

/**
 * The reply to a submitted message.
 *
 * @param ticket the number that the submission returned
 * @param reply what to answer
 */
public record ClaimLogReply(long ticket, ClaimReply reply) {}
