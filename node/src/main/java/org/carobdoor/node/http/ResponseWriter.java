package org.carobdoor.node.http;

/** Writes the answer of a language model to the HTTP response of one caller. */
sealed interface ResponseWriter extends AutoCloseable
        permits StreamingResponseWriter, BufferedResponseWriter {

    /** Sets the id of the accepted request. */
    void onAccepted(String requestId);

    /** Writes the next tokens; returns false if the caller has disconnected. */
    boolean write(int tokens, String text);

    /** Completes the answer; returns the response body, or an empty string if it was streamed. */
    String finish();

    /** Writes a problem into the response; returns false if the response has not started. */
    boolean writeProblem(Problem problem);

    @Override
    void close();
}
