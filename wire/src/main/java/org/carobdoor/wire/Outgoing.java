package org.carobdoor.wire;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;

/**
 * A message on its way to a peer. It knows whether a byte of it may have left, which decides
 * between {@link FailureKind#NOT_DONE} and {@link FailureKind#UNKNOWN}.
 */
final class Outgoing {
    private enum Stage {
        QUEUED,
        WRITTEN,
        CANCELLED
    }

    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.QUEUED);
    private final CompletableFuture<Result<PeerMessage>> result = new CompletableFuture<>();
    private final NodeId peer;
    private final Envelope envelope;

    Outgoing(NodeId peer, Envelope envelope) {
        this.peer = peer;
        this.envelope = envelope;
    }

    NodeId peer() {
        return peer;
    }

    Envelope envelope() {
        return envelope;
    }

    int size() {
        return envelope.getSerializedSize();
    }

    boolean isCall() {
        return envelope.getKind() == Envelope.Kind.CALL;
    }

    CompletableFuture<Result<PeerMessage>> result() {
        return result;
    }

    /** Returns whether the message may be written; from then on its effect is unknown. */
    boolean startWrite() {
        return stage.compareAndSet(Stage.QUEUED, Stage.WRITTEN);
    }

    /** Gives up on the message; {@code sentStep} names the failure if it was written before. */
    void fail(String queuedStep, String sentStep, String detail) {
        boolean queued =
                stage.compareAndSet(Stage.QUEUED, Stage.CANCELLED)
                        || stage.get() == Stage.CANCELLED;
        FailureKind kind = queued ? FailureKind.NOT_DONE : FailureKind.UNKNOWN;
        String step = queued ? queuedStep : sentStep;
        result.complete(Result.err(new Failure(kind, step, peer.value(), detail)));
    }

    void complete(Envelope reply) {
        result.complete(
                switch (reply.getKind()) {
                    case REPLY -> decode(reply);
                    case NOT_HANDLED ->
                            failure(FailureKind.NOT_DONE, "the peer has no free handler for it");
                    case NO_REPLY -> failure(FailureKind.UNKNOWN, "the handler gave no reply");
                    case FAILED -> failure(FailureKind.UNKNOWN, "the handler failed");
                    case ONE_WAY, CALL, UNSPECIFIED, UNRECOGNIZED ->
                            failure(FailureKind.UNKNOWN, "not a reply: " + reply.getKind());
                });
    }

    private Result<PeerMessage> decode(Envelope reply) {
        try {
            return Result.ok(MessageCodec.decode(reply));
        } catch (IllegalArgumentException e) {
            return failure(FailureKind.UNKNOWN, "reply not understood: " + e.getMessage());
        }
    }

    private Result<PeerMessage> failure(FailureKind kind, String detail) {
        return Result.err(kind, "peer.handle", peer.value(), detail);
    }
}
