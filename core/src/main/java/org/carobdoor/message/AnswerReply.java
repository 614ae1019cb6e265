package org.carobdoor.message;

import org.carobdoor.Bytes;

/**
 * Answers an {@link AnswerRead}.
 *
 * @param status the HTTP status of the answer, or 0 if the sender does not have it
 * @param contentType the media type of the body, empty if there is none
 * @param body the body of the answer
 */
public record AnswerReply(int status, String contentType, Bytes body) implements ClaimMessage {}
