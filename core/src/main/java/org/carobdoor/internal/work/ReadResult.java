package org.carobdoor.internal.work;

import org.carobdoor.NodeId;

/** The result of reading an answer at one node. */
public sealed interface ReadResult {

    /**
     * This node owns the request.
     *
     * @param slice the released tokens from the requested offset on; if that offset is not the
     *     start of a chunk, the slice begins at the start of the chunk
     * @param failed whether the request has failed permanently
     */
    record Owned(AnswerSlice slice, int epoch, boolean failed) implements ReadResult {}

    /** Another node owns the request or knows the owner. */
    record Redirect(NodeId node, int epoch) implements ReadResult {}

    /** This node does not know the request. */
    record Unknown() implements ReadResult {}
}
