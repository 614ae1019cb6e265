package org.carobdoor.internal.claims;

import org.carobdoor.message.ClaimReply;

/**
 * The reply to a message that was submitted to a {@link ClaimLog}.
 *
 * @param ticket the ticket that {@code submit} returned
 * @param reply the reply to send
 */
public record ClaimLogReply(long ticket, ClaimReply reply) {}
