package org.carobdoor.internal.work;

import org.carobdoor.NodeId;

/** What a node knows of an answer that is to be read. */
public sealed interface ReadResult {

    /**
     * This node owns the request.
     *
     * @param slice the released tokens from the offset on; its offset is lower than the one asked
     *     for if that is not the start of a chunk
     * @param failed whether the request has failed for good
     */
    record Owned(AnswerSlice slice, int epoch, boolean failed) implements ReadResult {}

    /** Another node owns the request, or knows which one does. */
    record Redirect(NodeId node, int epoch) implements ReadResult {}

    /** This node does not know the request. */
    record Unknown() implements ReadResult {}
}
