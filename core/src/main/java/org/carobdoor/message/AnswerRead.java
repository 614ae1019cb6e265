package org.carobdoor.message;

import org.carobdoor.Bytes;

/**
 * Asks a node for the answer that it keeps of a claimed call.
 *
 * @param keyHash as in the {@link ClaimRequest}
 */
public record AnswerRead(Bytes keyHash) implements ClaimMessage {}
