package org.carobdoor.message;

import org.carobdoor.Bytes;

/**
 * Requests the stored answer of a claimed call from a node.
 *
 * @param keyHash as in the {@link ClaimRequest}
 */
public record AnswerRead(Bytes keyHash) implements ClaimMessage {}
