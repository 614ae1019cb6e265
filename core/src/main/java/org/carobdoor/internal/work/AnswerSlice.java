package org.carobdoor.internal.work;

/**
 * Consecutive tokens of an answer.
 *
 * @param offset the index of the first token
 * @param tokens the number of tokens
 * @param text the text of the tokens
 * @param complete whether the answer ends with this slice
 */
public record AnswerSlice(int offset, int tokens, String text, boolean complete) {

    /** Returns the index after the last token. */
    public int end() {
        return offset + tokens;
    }
}
