package org.carobdoor.node.work;

/**
 * A contiguous range of an answer, as read by a caller.
 *
 * @param offset the index of the first token; lower than the requested offset if that is not at the
 *     start of a chunk
 * @param tokens the number of tokens in {@code text}
 * @param text the text
 * @param state whether more tokens may follow
 */
public record AnswerPart(int offset, int tokens, String text, State state) {

    /** Whether more tokens may follow. */
    public enum State {
        /** The answer has not ended. */
        RUNNING("running"),
        /** The answer ends with this part. */
        DONE("done"),
        /** The request has failed; no further tokens follow. */
        FAILED("failed");

        private final String label;

        State(String label) {
            this.label = label;
        }

        /** Returns the value used in peer messages and HTTP responses. */
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
