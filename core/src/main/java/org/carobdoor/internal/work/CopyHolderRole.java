package org.carobdoor.internal.work;

import static org.carobdoor.internal.Preconditions.checkInvariant;

import java.time.Instant;
import org.carobdoor.NodeId;
import org.carobdoor.message.WorkChunk;

/**
 * Stores the copy of one request for its owner.
 *
 * <p>The copy can contain tokens that the owner has not released, so it is never returned to
 * readers: only an owner knows which tokens every potential owner has stored.
 */
final class CopyHolderRole implements RequestRole {
    private final WorkRequest request;
    private final NodeId owner;
    private AnswerBuffer answer;
    private int epoch;

    CopyHolderRole(NodeId owner, int epoch, CopyCodec.Decoded copy) {
        this.request = copy.request();
        this.owner = owner;
        this.epoch = epoch;
        this.answer = copy.answer();
    }

    /** Replaces the copy with a newer one of the same owner, which contains the old one. */
    void replace(int newEpoch, AnswerBuffer newAnswer) {
        boolean sameTerm = Epoch.term(newEpoch) == Epoch.term(epoch);
        checkInvariant(
                !sameTerm || newAnswer.position() >= answer.position(),
                "a newer copy of the same owner lacks tokens of request " + request.id());
        epoch = newEpoch;
        answer = newAnswer;
    }

    /** Adds a chunk from the owner; chunks of older epochs are dropped. */
    void add(WorkChunk chunk) {
        if (chunk.epoch() < epoch) {
            return;
        }
        epoch = chunk.epoch();
        if (chunk.tokens() >= 0 && chunk.offset() >= 0) {
            answer.add(chunk.offset(), chunk.tokens(), chunk.text(), chunk.last());
        }
    }

    NodeId owner() {
        return owner;
    }

    WorkRequest request() {
        return request;
    }

    AnswerBuffer answer() {
        return answer;
    }

    @Override
    public int epoch() {
        return epoch;
    }

    @Override
    public Instant expiresAt() {
        return request.deadline();
    }
}
