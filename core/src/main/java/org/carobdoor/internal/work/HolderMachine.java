package org.carobdoor.internal.work;

import static org.carobdoor.internal.Preconditions.checkInvariant;

import java.time.Instant;
import org.carobdoor.NodeId;
import org.carobdoor.message.WorkChunk;

/**
 * Keeps the copy of one request for its owner.
 *
 * <p>What is held here may be more than the owner has released, so it is not shown to readers: only
 * an owner knows which tokens every possible successor holds.
 */
final class HolderMachine implements Part {
    private final WorkRequest request;
    private final NodeId owner;
    private AnswerBuffer answer;
    private int epoch;

    HolderMachine(NodeId owner, int epoch, CopyCodec.Decoded copy) {
        this.request = copy.request();
        this.owner = owner;
        this.epoch = epoch;
        this.answer = copy.answer();
    }

    /** Replaces the copy by a newer one of the same owner, which contains the old one. */
    void replace(int newEpoch, AnswerBuffer newAnswer) {
        boolean sameTerm = Epoch.term(newEpoch) == Epoch.term(epoch);
        checkInvariant(
                !sameTerm || newAnswer.position() >= answer.position(),
                "a newer copy of one owner lost tokens of " + request.id());
        epoch = newEpoch;
        answer = newAnswer;
    }

    /** Adds a chunk of the owner; a chunk of an older epoch is dropped. */
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
    public Instant keepUntil() {
        return request.deadline();
    }
}
