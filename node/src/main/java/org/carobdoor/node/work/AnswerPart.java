package org.carobdoor.node.work;

/**
 * A part of an answer that a caller reads.
 *
 * @param offset the index of the first token; lower than the one asked for if that is not the start
 *     of a chunk
 * @param tokens the number of tokens in {@code text}
 * @param text the text
 * @param state whether there is more to come
 */
public record AnswerPart(int offset, int tokens, String text, State state) {

    /** Whether there is more to come. */
    public enum State {
        /** The answer has not ended. */
        RUNNING("running"),
        /** The answer ends with this part. */
        DONE("done"),
        /** The request has failed; the tokens up to here are all there are. */
        FAILED("failed");

        private final String label;

        State(String label) {
            this.label = label;
        }

        /** Returns the value that messages and answers carry. */
        public String label() {
            return label;
        }

        static State of(String label) {
            for (State state : values()) {
                if (state.label.equals(label)) {
                    return state;
                }
            }
            return RUNNING;
        }
    }

    /** Returns the offset to read from next. */
    public int nextOffset() {
        return offset + tokens;
    }
}
