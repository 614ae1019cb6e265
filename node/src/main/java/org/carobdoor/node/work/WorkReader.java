package org.carobdoor.node.work;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.carobdoor.FailureKind;
import org.carobdoor.Member;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.internal.Rendezvous;
import org.carobdoor.internal.work.AnswerSlice;
import org.carobdoor.internal.work.ReadResult;
import org.carobdoor.internal.work.RequestId;
import org.carobdoor.internal.work.WorkTable;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.WorkRead;
import org.carobdoor.message.WorkReadReply;

/** Reads answers from this node or from the peer that owns the request. */
final class WorkReader {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /**
     * The number of nodes queried in rendezvous order. The copy holder is the first of them outside
     * the zone of the owner; the others allow for membership changes since the copy was made.
     */
    private static final int MAX_RANKED_NODES = 6;

    private final WorkPorts ports;
    private final WorkTable table;
    private final Waiters waiters;
    private final Set<String> forwarding = ConcurrentHashMap.newKeySet();

    WorkReader(WorkPorts ports, WorkTable table, Waiters waiters) {
        this.ports = ports;
        this.table = table;
        this.waiters = waiters;
    }

    /**
     * Returns the tokens starting at {@code offset}, waiting until {@code deadline} for new tokens.
     * Fails with {@code REJECTED} if no responding node knows the request.
     */
    Result<AnswerPart> read(String id, int offset, Instant deadline) {
        boolean known = false;
        try (var waiter = waiters.register(id)) {
            while (true) {
                Optional<AnswerPart> part = readOnce(id, offset);
                known |= part.isPresent();
                Instant now = ports.clock().instant();
                if (part.isPresent()
                        && (hasProgress(part.get(), offset) || !now.isBefore(deadline))) {
                    return Result.ok(part.get());
                }
                if (!now.isBefore(deadline) || Thread.currentThread().isInterrupted()) {
                    return known
                            ? Result.ok(new AnswerPart(offset, 0, "", AnswerPart.State.RUNNING))
                            : Result.err(
                                    FailureKind.REJECTED,
                                    "work.read",
                                    "local",
                                    "no responding node knows the request");
                }
                boolean local = table.read(id, offset) instanceof ReadResult.Owned;
                Instant poll = now.plus(POLL_INTERVAL);
                waiter.await(local || deadline.isBefore(poll) ? deadline : poll);
            }
        }
    }

    private static boolean hasProgress(AnswerPart part, int offset) {
        return part.state() != AnswerPart.State.RUNNING || part.nextOffset() > offset;
    }

    private Optional<AnswerPart> readOnce(String id, int offset) {
        return switch (table.read(id, offset)) {
            case ReadResult.Owned(var slice, var epoch, var failed) ->
                    Optional.of(toPart(slice, failed));
            case ReadResult.Redirect(var node, var epoch) ->
                    readFrom(id, offset, node)
                            .map(Optional::of)
                            .orElseGet(() -> searchPeers(id, offset));
            case ReadResult.Unknown() -> searchPeers(id, offset);
        };
    }

    private static AnswerPart toPart(AnswerSlice slice, boolean failed) {
        AnswerPart.State state =
                slice.complete()
                        ? AnswerPart.State.DONE
                        : failed ? AnswerPart.State.FAILED : AnswerPart.State.RUNNING;
        return new AnswerPart(slice.offset(), slice.tokens(), slice.text(), state);
    }

    /** Queries the first owner and the top-ranked nodes; prefers a response with new tokens. */
    private Optional<AnswerPart> searchPeers(String id, int offset) {
        Optional<AnswerPart> best = Optional.empty();
        for (NodeId node : candidates(id)) {
            Optional<AnswerPart> part = readFrom(id, offset, node);
            if (part.isPresent() && hasProgress(part.get(), offset)) {
                return part;
            }
            best = best.or(() -> part);
        }
        return best;
    }

    private List<NodeId> candidates(String id) {
        Set<NodeId> nodes = new LinkedHashSet<>();
        RequestId.parse(id).ifPresent(parsed -> nodes.add(parsed.firstOwner()));
        Rendezvous.rank(id, ports.members().live(), m -> m.id().value()).stream()
                .limit(MAX_RANKED_NODES)
                .map(Member::id)
                .forEach(nodes::add);
        nodes.remove(ports.members().self().id());
        return new ArrayList<>(nodes);
    }

    private Optional<AnswerPart> readFrom(String id, int offset, NodeId node) {
        Instant deadline = ports.clock().instant().plus(CALL_TIMEOUT);
        Result<PeerMessage> reply = ports.network().call(node, new WorkRead(id, offset), deadline);
        return reply instanceof Result.Ok<PeerMessage>(WorkReadReply answer) && answer.known()
                ? Optional.of(
                        new AnswerPart(
                                answer.offset(),
                                answer.tokens(),
                                answer.text(),
                                AnswerPart.State.of(answer.state())))
                : Optional.empty();
    }

    /**
     * Handles a read from a peer. A node that is not the owner forwards the read to the owner it
     * knows.
     */
    WorkReadReply onRead(NodeId from, WorkRead read) {
        String id = read.requestId();
        int offset = Math.max(0, read.offset());
        return switch (table.read(id, offset)) {
            case ReadResult.Owned(var slice, var epoch, var failed) ->
                    reply(toPart(slice, failed), epoch);
            case ReadResult.Redirect(var node, var epoch) -> {
                var empty = new AnswerPart(offset, 0, "", AnswerPart.State.RUNNING);
                yield reply(forward(id, offset, node, from).orElse(empty), epoch);
            }
            case ReadResult.Unknown() -> new WorkReadReply(false, 0, offset, 0, "", "running");
        };
    }

    /**
     * Forwards a read at most once at a time per request, so that two nodes that each regard the
     * other as the owner do not forward in a loop.
     */
    private Optional<AnswerPart> forward(String id, int offset, NodeId node, NodeId from) {
        if (node.equals(from) || !forwarding.add(id)) {
            return Optional.empty();
        }
        try {
            return readFrom(id, offset, node);
        } finally {
            forwarding.remove(id);
        }
    }

    private static WorkReadReply reply(AnswerPart part, int epoch) {
        return new WorkReadReply(
                true, epoch, part.offset(), part.tokens(), part.text(), part.state().label());
    }
}
