package org.carobdoor.internal.work;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.carobdoor.Member;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.message.WorkAck;
import org.carobdoor.message.WorkChunk;
import org.carobdoor.message.WorkCopy;
import org.carobdoor.message.WorkHandover;
import org.carobdoor.message.WorkProgress;

/**
 * The accepted requests that a node owns or stores copies of.
 *
 * <p>Methods return the operations to perform or add them to the list passed in. Thread-safe:
 * requests are distributed over shards, each with its own lock.
 *
 * <pre>{@code
 * for (WorkOperation operation : table.accept(request)) {
 *     driver.perform(operation);
 * }
 * }</pre>
 */
public final class WorkTable {
    private static final int SHARDS = 64;

    private final List<WorkShard> shards = new ArrayList<>();
    private final InstantSource clock;

    private WorkTable(MembershipView view, WorkTimes times, InstantSource clock) {
        this.clock = clock;
        for (int i = 0; i < SHARDS; i++) {
            shards.add(new WorkShard(view, times));
        }
    }

    /** Returns an empty table for the node {@code view.self()}. */
    public static WorkTable create(MembershipView view, WorkTimes times, InstantSource clock) {
        return new WorkTable(view, times, clock);
    }

    private WorkShard shard(String requestId) {
        return shards.get(Math.floorMod(requestId.hashCode(), SHARDS));
    }

    /** Starts accepting a request from a caller. */
    public List<WorkOperation> accept(WorkRequest request) {
        return shard(request.id()).accept(request, clock.instant());
    }

    /** Reports the outcome of {@link WorkOperation.SendCopy}. */
    public List<WorkOperation> onCopyOutcome(WorkOperation.SendCopy sent, CopyOutcome outcome) {
        return shard(sent.requestId())
                .withOwner(
                        sent.requestId(),
                        clock.instant(),
                        (owner, now) ->
                                owner.onCopyOutcome(sent.to(), sent.copy().epoch(), outcome, now));
    }

    /** Reports the reply to {@link WorkOperation.AskRelinquish}; a missing reply is a refusal. */
    public List<WorkOperation> onRelinquishOutcome(
            WorkOperation.AskRelinquish asked, boolean agreed) {
        return shard(asked.requestId())
                .withOwner(
                        asked.requestId(),
                        clock.instant(),
                        (owner, now) ->
                                owner.onRelinquishOutcome(
                                        asked.peer(), asked.epoch(), agreed, now));
    }

    /** Reports the stored decision of a term, or empty if it could not be written or read. */
    public List<WorkOperation> onDecision(
            WorkOperation.Decide asked, Optional<OwnershipDecision> stored) {
        return shard(asked.requestId())
                .withOwner(
                        asked.requestId(),
                        clock.instant(),
                        (owner, now) -> owner.onDecision(asked.term(), stored, now));
    }

    /** Adds tokens that an attempt of this node has generated. */
    public List<WorkOperation> onTokens(
            String requestId, int attempt, int tokens, String text, boolean last) {
        return shard(requestId)
                .withOwner(
                        requestId,
                        clock.instant(),
                        (owner, now) -> owner.onTokens(attempt, tokens, text, last, now));
    }

    /** Starts another attempt after {@code attempt} ended without completing the answer. */
    public List<WorkOperation> restartAttempt(String requestId, int attempt) {
        return shard(requestId)
                .withOwner(
                        requestId,
                        clock.instant(),
                        (owner, now) ->
                                owner.attempt().end(attempt, Optional.empty())
                                        ? owner.attempt().startIfNeeded()
                                        : List.of());
    }

    /** Records that the request has failed permanently in {@code attempt}. */
    public List<WorkOperation> failAttempt(String requestId, int attempt, String reason) {
        return shard(requestId)
                .withOwner(
                        requestId,
                        clock.instant(),
                        (owner, now) ->
                                owner.attempt().end(attempt, Optional.of(reason))
                                        ? List.of(new WorkOperation.Released(requestId))
                                        : List.of());
    }

    /** Handles a copy from a peer and returns the acknowledgement. */
    public WorkAck onCopy(NodeId from, WorkCopy copy) {
        var ack = shard(copy.requestId()).onCopy(from, copy, clock.instant());
        var reply = new AckBuilder();
        reply.add(copy.requestId(), ack);
        return reply.build();
    }

    /**
     * Handles progress from a peer and returns the acknowledgement. An epoch that equals that of
     * the chunk is omitted, since it would double the size of the usual acknowledgement.
     */
    public WorkAck onProgress(NodeId from, WorkProgress progress) {
        var reply = new AckBuilder();
        for (WorkChunk chunk : progress.chunks()) {
            var ack = shard(chunk.requestId()).onChunk(from, chunk);
            if (ack.epoch() == chunk.epoch() && ack.position().isPresent()) {
                reply.addPosition(chunk.requestId(), ack.position().get());
            } else {
                reply.add(chunk.requestId(), ack);
            }
        }
        return reply.build();
    }

    /**
     * Handles the notice of a peer that it continues requests in the given epochs. This node
     * relinquishes its role for the requests named in the reply and keeps its role for the others.
     */
    public WorkAck onRelinquish(NodeId from, WorkAck notice, List<WorkOperation> operations) {
        var reply = new AckBuilder();
        notice.epochs()
                .forEach(
                        (id, epoch) -> {
                            Instant now = clock.instant();
                            shard(id)
                                    .onRelinquish(from, id, epoch, now, operations)
                                    .ifPresent(known -> reply.add(id, known));
                        });
        return reply.build();
    }

    /** Handles the request of a leaving owner to take over its requests. */
    public List<WorkOperation> onHandover(NodeId from, WorkHandover handover) {
        List<WorkOperation> all = new ArrayList<>();
        for (String id : handover.requestIds()) {
            all.addAll(shard(id).onHandover(from, id, clock.instant()));
        }
        return all;
    }

    /**
     * Returns the chunks to send, by copy holder. Unacknowledged chunks are returned again by every
     * call, so {@code ready} should be false for a holder that has not yet replied.
     */
    public Map<NodeId, List<WorkChunk>> collectProgress(Predicate<NodeId> ready) {
        Map<NodeId, List<WorkChunk>> chunks = new HashMap<>();
        for (WorkShard shard : shards) {
            shard.collectProgress(ready, chunks, clock.instant());
        }
        return chunks;
    }

    /** Handles the acknowledgement of the chunks in {@code sent}. */
    public List<WorkOperation> onProgressAck(NodeId from, List<WorkChunk> sent, WorkAck ack) {
        List<WorkOperation> all = new ArrayList<>();
        Map<String, Integer> sentEpochs = new HashMap<>();
        sent.forEach(chunk -> sentEpochs.put(chunk.requestId(), chunk.epoch()));
        sentEpochs.forEach((id, epoch) -> all.addAll(onProgressAck(from, id, epoch, ack)));
        return all;
    }

    private List<WorkOperation> onProgressAck(NodeId from, String id, int sentEpoch, WorkAck ack) {
        Optional<Integer> position = Optional.ofNullable(ack.offsets().get(id));
        int epoch = ack.epochs().getOrDefault(id, sentEpoch);
        return shard(id)
                .withOwner(
                        id,
                        clock.instant(),
                        (owner, now) -> owner.onAck(from, position, epoch, now));
    }

    /** Reads the answer from {@code offset} on. */
    public ReadResult read(String requestId, int offset) {
        return shard(requestId).read(requestId, offset);
    }

    /** Ends an owned request whose answer is no longer needed. */
    public List<WorkOperation> close(String requestId) {
        return shard(requestId).close(requestId, clock.instant());
    }

    /** Handles a membership change. */
    public List<WorkOperation> onMember(Member member) {
        return forEachShard(shard -> shard.onMember(member, clock.instant()));
    }

    /** Performs due retries, timeouts and takeovers; to be called several times a second. */
    public List<WorkOperation> tick() {
        return forEachShard(shard -> shard.tick(clock.instant()));
    }

    /**
     * Hands over owned requests to their copy holders, now or once they have one.
     *
     * @param streams whether requests whose caller streams from this node are handed over too;
     *     otherwise they finish here
     */
    public List<WorkOperation> handOver(boolean streams) {
        return forEachShard(shard -> shard.handOver(streams, clock.instant()));
    }

    /** Returns the role of this node for a request; for tests. */
    Optional<RequestRole> role(String requestId) {
        return shard(requestId).role(requestId);
    }

    /** Returns the numbers of requests by role. */
    public WorkCounts counts() {
        WorkCounts counts = new WorkCounts(0, 0, 0, 0, 0);
        for (WorkShard shard : shards) {
            counts = counts.plus(shard.counts());
        }
        return counts;
    }

    private List<WorkOperation> forEachShard(Function<WorkShard, List<WorkOperation>> step) {
        List<WorkOperation> all = new ArrayList<>();
        for (WorkShard shard : shards) {
            all.addAll(step.apply(shard));
        }
        return all;
    }

    /** Collects the acknowledgements of several requests. */
    private static final class AckBuilder {
        private final Map<String, Integer> offsets = new HashMap<>();
        private final Map<String, Integer> epochs = new HashMap<>();

        void addPosition(String id, int position) {
            offsets.put(id, position);
        }

        void add(String id, int epoch) {
            epochs.put(id, epoch);
        }

        void add(String id, WorkShard.Ack ack) {
            ack.position().ifPresent(position -> offsets.put(id, position));
            epochs.put(id, ack.epoch());
        }

        WorkAck build() {
            return new WorkAck(offsets, epochs);
        }
    }
}
