package org.carobdoor.node.work;

/** Takes the answer of a stream on behalf of its caller. */
public interface StreamSink {

    /** The request is accepted under {@code requestId}; the response head can be sent. */
    void accepted(String requestId);

    /**
     * Takes the next part of the answer.
     *
     * @return whether the caller is still there
     */
    boolean part(AnswerPart part);
}
