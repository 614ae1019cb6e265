package org.carobdoor.message;

import java.time.Instant;
import org.carobdoor.Bytes;

/**
 * Sends a copy of the answer of a claimed call to a node in another availability zone. It has no
 * reply.
 *
 * @param keyHash as in the {@link ClaimRequest}
 * @param status the HTTP status of the answer
 * @param contentType the media type of the body, empty if there is none
 * @param body the body of the answer
 * @param answerKeptUntil time until which the answer is kept
 */
public record AnswerCopy(
        Bytes keyHash, int status, String contentType, Bytes body, Instant answerKeptUntil)
        implements ClaimMessage {}
