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
 * The accepted work that a node owns or holds copies of.
 *
 * <p>Methods return the operations to perform, or give them to the list that is passed in. Safe for
 * use by several threads: requests are spread over shards, each with its own lock.
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

    /** Returns an empty table of the node {@code view.self()}. */
    public static WorkTable create(MembershipView view, WorkTimes times, InstantSource clock) {
        return new WorkTable(view, times, clock);
    }

    private WorkShard shard(String requestId) {
        return shards.get(Math.floorMod(requestId.hashCode(), SHARDS));
    }

    /** Starts to accept a request of a caller. */
    public List<WorkOperation> accept(WorkRequest request) {
        return shard(request.id()).accept(request, clock.instant());
    }

    /** Reports what became of {@link WorkOperation.SendCopy}. */
    public List<WorkOperation> onCopyOutcome(WorkOperation.SendCopy sent, CopyOutcome outcome) {
        return shard(sent.requestId())
                .withOwner(
                        sent.requestId(),
                        clock.instant(),
                        (owner, now) ->
                                owner.onCopyOutcome(sent.to(), sent.copy().epoch(), outcome, now));
    }

    /** Reports the answer to {@link WorkOperation.AskRelinquish}; no answer is a refusal. */
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

    /** Adds tokens that an attempt of this node has made. */
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

    /** Records that the request has failed for good in {@code attempt}. */
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

    /** Handles a copy that a peer sends, and returns the acknowledgement. */
    public WorkAck onCopy(NodeId from, WorkCopy copy) {
        var ack = shard(copy.requestId()).onCopy(from, copy, clock.instant());
        var reply = new AckBuilder();
        reply.add(copy.requestId(), ack);
        return reply.build();
    }

    /**
     * Handles progress that a peer sends, and returns the acknowledgement. An epoch is left out if
     * it is that of the chunk, since it would double the size of the usual acknowledgement.
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
     * Handles the epochs in which a peer continues requests. This node gives up its part in those
     * that the reply names, and keeps its part in the others.
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

    /** Handles the request of a leaving owner to continue its work. */
    public List<WorkOperation> onHandover(NodeId from, WorkHandover handover) {
        List<WorkOperation> all = new ArrayList<>();
        for (String id : handover.requestIds()) {
            all.addAll(shard(id).onHandover(from, id, clock.instant()));
        }
        return all;
    }

    /**
     * Returns the chunks to send, by copy holder. Everything that is not acknowledged is returned
     * again, so {@code ready} should be false for a holder that has not yet answered.
     */
    public Map<NodeId, List<WorkChunk>> collectProgress(Predicate<NodeId> ready) {
        Map<NodeId, List<WorkChunk>> chunks = new HashMap<>();
        for (WorkShard shard : shards) {
            shard.collectProgress(ready, chunks, clock.instant());
        }
        return chunks;
    }

    /** Handles the acknowledgement of the requests in {@code sent}. */
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

    /** Returns what this node knows of the answer from {@code offset} on. */
    public ReadResult read(String requestId, int offset) {
        return shard(requestId).read(requestId, offset);
    }

    /** Ends an owned request whose answer is of no more use. */
    public List<WorkOperation> close(String requestId) {
        return shard(requestId).close(requestId, clock.instant());
    }

    /** Handles a change of membership. */
    public List<WorkOperation> onMember(Member member) {
        return all(shard -> shard.onMember(member, clock.instant()));
    }

    /** Does what has become due; to be called several times a second. */
    public List<WorkOperation> tick() {
        return all(shard -> shard.tick(clock.instant()));
    }

    /**
     * Starts to hand over owned requests, now and when their copy holders change.
     *
     * @param streams whether streams are handed over too; else they are left to finish
     */
    public List<WorkOperation> handOver(boolean streams) {
        return all(shard -> shard.handOver(streams, clock.instant()));
    }

    /** Returns the part that this node has in a request; for tests. */
    Optional<Part> part(String requestId) {
        return shard(requestId).part(requestId);
    }

    /** Returns what this node holds. */
    public WorkCounts counts() {
        WorkCounts counts = new WorkCounts(0, 0, 0, 0, 0);
        for (WorkShard shard : shards) {
            counts = counts.plus(shard.counts());
        }
        return counts;
    }

    private List<WorkOperation> all(Function<WorkShard, List<WorkOperation>> step) {
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
