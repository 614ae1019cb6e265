package org.carobdoor.node.http;

/** Writes the answer of a language model to one caller. */
sealed interface AnswerWriter extends AutoCloseable permits StreamedAnswer, WholeAnswer {

    /** Takes the id of the accepted request. */
    void accepted(String requestId);

    /** Takes the next tokens; returns whether the caller is still there. */
    boolean write(int tokens, String text);

    /** Completes the answer; returns the body to send, empty if the answer was streamed. */
    String finish();

    /** Reports a problem inside the answer; returns false if the answer has not started. */
    boolean fail(Problem problem);

    @Override
    void close();
}
