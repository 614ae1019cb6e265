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
 * A message to a peer, with its result. It tracks whether a byte of it may have been sent, which
 * determines whether a failure is {@link FailureKind#NOT_DONE} or {@link FailureKind#UNKNOWN}.
 */
final class OutgoingMessage {
    private enum Stage {
        QUEUED,
        WRITTEN,
        CANCELLED
    }

    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.QUEUED);
    private final CompletableFuture<Result<PeerMessage>> result = new CompletableFuture<>();
    private final NodeId peer;
    private final Envelope envelope;

    OutgoingMessage(NodeId peer, Envelope envelope) {
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

    /**
     * Returns whether the message may be written, which is false after it was cancelled. A failure
     * after this call has an unknown effect.
     */
    boolean markWritten() {
        return stage.compareAndSet(Stage.QUEUED, Stage.WRITTEN);
    }

    /**
     * Fails the message. The failure names {@code sentStep} if the message was written, otherwise
     * {@code queuedStep}.
     */
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
                            failure(
                                    FailureKind.NOT_DONE,
                                    "peer has no handler for the message or all handlers are busy");
                    case NO_REPLY -> failure(FailureKind.UNKNOWN, "handler returned no reply");
                    case FAILED -> failure(FailureKind.UNKNOWN, "handler failed");
                    case ONE_WAY, CALL, UNSPECIFIED, UNRECOGNIZED ->
                            failure(
                                    FailureKind.UNKNOWN,
                                    "unexpected envelope kind in a reply: " + reply.getKind());
                });
    }

    private Result<PeerMessage> decode(Envelope reply) {
        try {
            return Result.ok(MessageCodec.decode(reply));
        } catch (IllegalArgumentException e) {
            return failure(FailureKind.UNKNOWN, "invalid reply: " + e.getMessage());
        }
    }

    private Result<PeerMessage> failure(FailureKind kind, String detail) {
        return Result.err(kind, "peer.handle", peer.value(), detail);
    }
}
