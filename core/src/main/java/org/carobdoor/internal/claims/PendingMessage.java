package org.carobdoor.internal.claims;

import java.time.Instant;
import org.carobdoor.message.ClaimMessage;

/**
 * A submitted message that waits for its reply.
 *
 * @param ticket identifies the reply
 * @param message the submitted message
 * @param key the hash of its key
 * @param from the identifier of the node that sent it
 * @param arrived when it was submitted
 * @param writeBy the latest time at which its change should be written
 * @param deadline the time from which it is answered with UNAVAILABLE
 */
record PendingMessage(
        long ticket,
        ClaimMessage message,
        Id128 key,
        String from,
        Instant arrived,
        Instant writeBy,
        Instant deadline) {}
