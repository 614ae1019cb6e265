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

/** Reads answers, wherever their owner is. */
final class WorkReader {
    private static final Duration CALL_WITHIN = Duration.ofMillis(500);
    private static final Duration POLL_EVERY = Duration.ofMillis(50);

    /**
     * How many nodes in rendezvous order are asked. The copy holder is the first of them outside
     * the zone of its owner; the others cover the nodes that came or went since.
     */
    private static final int RANKED_NODES = 6;

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
     * Returns the tokens from {@code offset} on; waits until {@code deadline} for there to be some.
     * Fails with {@code REJECTED} if no node that answered knows the request.
     */
    Result<AnswerPart> read(String id, int offset, Instant deadline) {
        boolean known = false;
        try (var waiter = waiters.register(id)) {
            while (true) {
                Optional<AnswerPart> part = find(id, offset);
                known |= part.isPresent();
                Instant now = ports.clock().instant();
                if (part.isPresent() && (hasNews(part.get(), offset) || !now.isBefore(deadline))) {
                    return Result.ok(part.get());
                }
                if (!now.isBefore(deadline) || Thread.currentThread().isInterrupted()) {
                    return known
                            ? Result.ok(new AnswerPart(offset, 0, "", AnswerPart.State.RUNNING))
                            : Result.err(
                                    FailureKind.REJECTED,
                                    "work.read",
                                    "local",
                                    "no node that answered knows the request");
                }
                boolean local = table.read(id, offset) instanceof ReadResult.Owned;
                Instant poll = now.plus(POLL_EVERY);
                waiter.await(local || deadline.isBefore(poll) ? deadline : poll);
            }
        }
    }

    private static boolean hasNews(AnswerPart part, int offset) {
        return part.state() != AnswerPart.State.RUNNING || part.nextOffset() > offset;
    }

    private Optional<AnswerPart> find(String id, int offset) {
        return switch (table.read(id, offset)) {
            case ReadResult.Owned(var slice, var epoch, var failed) ->
                    Optional.of(part(slice, failed));
            case ReadResult.Redirect(var node, var epoch) ->
                    ask(id, offset, node).map(Optional::of).orElseGet(() -> search(id, offset));
            case ReadResult.Unknown() -> search(id, offset);
        };
    }

    private static AnswerPart part(AnswerSlice slice, boolean failed) {
        AnswerPart.State state =
                slice.complete()
                        ? AnswerPart.State.DONE
                        : failed ? AnswerPart.State.FAILED : AnswerPart.State.RUNNING;
        return new AnswerPart(slice.offset(), slice.tokens(), slice.text(), state);
    }

    /** Asks the first owner and the first nodes in rendezvous order; prefers one with tokens. */
    private Optional<AnswerPart> search(String id, int offset) {
        Optional<AnswerPart> best = Optional.empty();
        for (NodeId node : candidates(id)) {
            Optional<AnswerPart> part = ask(id, offset, node);
            if (part.isPresent() && hasNews(part.get(), offset)) {
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
                .limit(RANKED_NODES)
                .map(Member::id)
                .forEach(nodes::add);
        nodes.remove(ports.members().self().id());
        return new ArrayList<>(nodes);
    }

    private Optional<AnswerPart> ask(String id, int offset, NodeId node) {
        Instant deadline = ports.clock().instant().plus(CALL_WITHIN);
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

    /** Answers a peer; a node that is not the owner asks the one that it believes to be. */
    WorkReadReply answer(NodeId from, WorkRead read) {
        String id = read.requestId();
        int offset = Math.max(0, read.offset());
        return switch (table.read(id, offset)) {
            case ReadResult.Owned(var slice, var epoch, var failed) ->
                    reply(part(slice, failed), epoch);
            case ReadResult.Redirect(var node, var epoch) -> {
                var nothing = new AnswerPart(offset, 0, "", AnswerPart.State.RUNNING);
                yield reply(forward(id, offset, node, from).orElse(nothing), epoch);
            }
            case ReadResult.Unknown() -> new WorkReadReply(false, 0, offset, 0, "", "running");
        };
    }

    /** Two nodes that each believe the other to be the owner must not ask in circles. */
    private Optional<AnswerPart> forward(String id, int offset, NodeId node, NodeId from) {
        if (node.equals(from) || !forwarding.add(id)) {
            return Optional.empty();
        }
        try {
            return ask(id, offset, node);
        } finally {
            forwarding.remove(id);
        }
    }

    private static WorkReadReply reply(AnswerPart part, int epoch) {
        return new WorkReadReply(
                true, epoch, part.offset(), part.tokens(), part.text(), part.state().label());
    }
}
