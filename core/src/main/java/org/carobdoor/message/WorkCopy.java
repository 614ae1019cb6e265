package org.carobdoor.message;

import java.time.Instant;
import org.carobdoor.Bytes;

/**
 * Replicates an accepted request to the receiver, which stores the copy.
 *
 * @param requestId the request id returned to the caller
 * @param epoch the number of the attempt, 1 for the first
 * @param request the encoded request
 * @param offset the number of tokens already emitted
 * @param text the text already emitted
 * @param deadline when the request expires
 */
public record WorkCopy(
        String requestId, int epoch, Bytes request, int offset, String text, Instant deadline)
        implements WorkMessage {}
