package org.carobdoor.internal.claims;

import java.time.Instant;
import org.carobdoor.message.ClaimMessage;

/**
 * A message that waits for its reply.
 *
 * @param ticket the number under which the reply is given
 * @param message the request
 * @param key the key that it is about
 * @param from the node that sent it
 * @param arrived when it was submitted
 * @param writeBy when it should be written at the latest
 * @param deadline when it is answered with UNAVAILABLE
 */
record Pending(
        long ticket,
        ClaimMessage message,
        Id128 key,
        String from,
        Instant arrived,
        Instant writeBy,
        Instant deadline) {}
