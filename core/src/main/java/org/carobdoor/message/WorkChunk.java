package org.carobdoor.message;

/**
 * A sequence of consecutive tokens of an answer.
 *
 * @param requestId the id of the request
 * @param epoch number of the attempt that generated the tokens
 * @param offset the index of the first token in the answer
 * @param tokens the number of tokens
 * @param text the text of the tokens
 * @param last whether the answer is complete after this chunk
 */
public record WorkChunk(
        String requestId, int epoch, int offset, int tokens, String text, boolean last) {}
