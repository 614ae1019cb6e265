package org.carobdoor.node.work;

/** Receives the answer of a streamed request on behalf of its caller. */
public interface StreamSink {

    /**
     * Called when the request has been accepted as {@code requestId}; the response head can be
     * sent.
     */
    void accepted(String requestId);

    /**
     * Called with the next part of the answer.
     *
     * @return whether the caller is still connected
     */
    boolean part(AnswerPart part);
}
