package org.carobdoor.message;

import java.time.Instant;

/**
 * Answers an {@link AllotmentRequest}.
 *
 * @param limit the name of the limit
 * @param granted the amount granted, 0 if none is left or the receiver is not the home node
 * @param until when the grant expires
 */
public record AllotmentReply(String limit, long granted, Instant until) implements LimitMessage {}
