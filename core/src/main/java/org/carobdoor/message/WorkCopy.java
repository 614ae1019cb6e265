package org.carobdoor.message;

import java.time.Instant;
import org.carobdoor.Bytes;

/**
 * Gives the receiver a copy of an accepted request to keep.
 *
 * @param requestId the id told to the caller
 * @param epoch the number of the attempt, 1 for the first
 * @param request the encoded request
 * @param offset the number of tokens already emitted
 * @param text the text already emitted
 * @param deadline when the request is no longer of use
 */
public record WorkCopy(
        String requestId, int epoch, Bytes request, int offset, String text, Instant deadline)
        implements WorkMessage {}
