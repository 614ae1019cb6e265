package org.carobdoor.internal.work;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.NodeId;
import org.carobdoor.RunState;
import org.carobdoor.message.WorkCopy;

/** An operation that the driver performs for one request. */
public sealed interface WorkOperation {

    /** Returns the id of the request. */
    String requestId();

    /** Call {@code to} with the copy; report with {@link WorkTable#onCopyOutcome}. */
    record SendCopy(String requestId, NodeId to, WorkCopy copy) implements WorkOperation {}

    /**
     * Call {@code peer} with a {@code WorkAck} that holds only {@code epoch}, to ask it to give up
     * its part; report with {@link WorkTable#onRelinquishOutcome}.
     */
    record AskRelinquish(String requestId, NodeId peer, int epoch) implements WorkOperation {}

    /**
     * Take the write-once decision of {@code term}; report what is stored with {@link
     * WorkTable#onDecision}.
     *
     * @param holder the copy holder of the next term, empty if no node can be reached
     * @param until when the request is no longer of use
     */
    record Decide(String requestId, int term, NodeId winner, Optional<NodeId> holder, Instant until)
            implements WorkOperation {}

    /** Tell {@code to} to continue the request, by {@code WorkHandover}. */
    record SendHandover(String requestId, NodeId to) implements WorkOperation {}

    /**
     * Tell {@code peer}, by a {@code WorkAck} that holds only {@code epoch}, that the request has
     * ended. May be lost; the copy then lasts until its deadline.
     */
    record SendDiscard(String requestId, NodeId peer, int epoch) implements WorkOperation {}

    /** Open a token stream that continues after {@code offset} tokens. */
    record StartAttempt(WorkRequest request, int attempt, int offset, String text)
            implements WorkOperation {
        @Override
        public String requestId() {
            return request.id();
        }
    }

    /** Cancel the token stream. */
    record StopAttempt(String requestId, int attempt) implements WorkOperation {}

    /**
     * Tell the caller that the request is accepted.
     *
     * @param copy the copy holder; empty for a stream that is served without a copy
     */
    record Accepted(String requestId, Optional<NodeId> copy, boolean sameZone)
            implements WorkOperation {}

    /** Tell the caller that the request is not accepted. */
    record Refused(String requestId, RunState runState) implements WorkOperation {}

    /** More tokens can be read than before. */
    record Released(String requestId) implements WorkOperation {}

    /** This node has no part in the request any more; {@code successor} may know the answer. */
    record Retired(String requestId, Optional<NodeId> successor) implements WorkOperation {}
}
