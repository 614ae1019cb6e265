package org.carobdoor.internal.work;

import java.time.Instant;
import java.util.Optional;
import org.carobdoor.NodeId;
import org.carobdoor.RunState;
import org.carobdoor.message.WorkCopy;

/** An operation that the caller of {@link WorkTable} must perform for one request. */
public sealed interface WorkOperation {

    /** Returns the id of the request. */
    String requestId();

    /**
     * Sends the copy to {@code to} and waits for the reply; the outcome is reported to {@link
     * WorkTable#onCopyOutcome}.
     */
    record SendCopy(String requestId, NodeId to, WorkCopy copy) implements WorkOperation {}

    /**
     * Asks {@code peer} to relinquish its role, by a {@code WorkAck} that contains only {@code
     * epoch}; the outcome is reported to {@link WorkTable#onRelinquishOutcome}.
     */
    record AskRelinquish(String requestId, NodeId peer, int epoch) implements WorkOperation {}

    /**
     * Writes the write-once decision of {@code term} unless one is stored; the stored one is
     * reported to {@link WorkTable#onDecision}.
     *
     * @param holder the copy holder of the next term, empty if no node is available
     * @param until when the request expires
     */
    record Decide(String requestId, int term, NodeId winner, Optional<NodeId> holder, Instant until)
            implements WorkOperation {}

    /** Asks {@code to}, by a {@code WorkHandover}, to take over the request. */
    record SendHandover(String requestId, NodeId to) implements WorkOperation {}

    /**
     * Asks {@code peer}, by a {@code WorkAck} that contains only {@code epoch}, to discard its copy
     * of an ended request. If the message is lost, the copy is kept until its deadline.
     */
    record SendDiscard(String requestId, NodeId peer, int epoch) implements WorkOperation {}

    /**
     * Starts an attempt that generates the answer from token {@code offset} on, after {@code text}.
     */
    record StartAttempt(WorkRequest request, int attempt, int offset, String text)
            implements WorkOperation {
        @Override
        public String requestId() {
            return request.id();
        }
    }

    /** Cancels an attempt. */
    record StopAttempt(String requestId, int attempt) implements WorkOperation {}

    /**
     * Reports to the caller that the request is accepted.
     *
     * @param copy the copy holder; empty for a stream without a copy
     */
    record Accepted(String requestId, Optional<NodeId> copy, boolean sameZone)
            implements WorkOperation {}

    /** Reports to the caller that the request is not accepted. */
    record Refused(String requestId, RunState runState) implements WorkOperation {}

    /** Signals that more tokens can be read, or that the request has failed. */
    record Released(String requestId) implements WorkOperation {}

    /**
     * Signals that this node has relinquished the request; {@code successor} may have the answer.
     */
    record Retired(String requestId, Optional<NodeId> successor) implements WorkOperation {}
}
