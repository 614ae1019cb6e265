package org.carobdoor.internal.work;

import static org.carobdoor.internal.Preconditions.checkInvariant;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import org.carobdoor.Member;
import org.carobdoor.MemberState;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.message.WorkChunk;
import org.carobdoor.message.WorkCopy;
import org.jspecify.annotations.Nullable;

/** Holds the parts of some of the requests, guarded by one lock. */
final class WorkShard {
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Part> parts = new HashMap<>();
    private final Set<String> unacknowledged = new HashSet<>();
    private final MembershipView view;
    private final WorkTimes times;

    WorkShard(MembershipView view, WorkTimes times) {
        this.view = view;
        this.times = times;
    }

    /** What a peer is told about one request. */
    record Ack(Optional<Integer> position, int epoch) {}

    List<WorkOperation> accept(WorkRequest request, Instant now) {
        lock.lock();
        try {
            checkInvariant(!parts.containsKey(request.id()), "request id used twice");
            OwnerMachine owner = OwnerMachine.receive(request, view, times, now);
            parts.put(request.id(), owner);
            return after(request.id(), owner.copy(now), now);
        } finally {
            lock.unlock();
        }
    }

    /** Applies {@code step} to the owner machine of {@code id}, if this node has one. */
    List<WorkOperation> withOwner(
            String id, Instant now, BiFunction<OwnerMachine, Instant, List<WorkOperation>> step) {
        lock.lock();
        try {
            if (!(parts.get(id) instanceof OwnerMachine owner)) {
                return List.of();
            }
            int epoch = owner.epoch();
            int released = owner.released();
            List<WorkOperation> operations = step.apply(owner, now);
            checkInvariant(owner.epoch() >= epoch, "an epoch went back: " + id);
            checkInvariant(owner.released() >= released, "released tokens were taken back: " + id);
            unacknowledged.add(id);
            return after(id, operations, now);
        } finally {
            lock.unlock();
        }
    }

    /** Replaces the part by a retired one if an operation says that this node's part is over. */
    private List<WorkOperation> after(String id, List<WorkOperation> operations, Instant now) {
        List<WorkOperation> all = operations;
        for (WorkOperation operation : operations) {
            if (operation instanceof WorkOperation.Retired(var unused, var successor)) {
                retire(id, parts.get(id), successor, now);
            } else if (operation instanceof WorkOperation.Refused
                    && parts.get(id) instanceof OwnerMachine owner) {
                all = new ArrayList<>(operations);
                all.addAll(forget(owner));
                retire(id, owner, Optional.empty(), now);
            }
        }
        return all;
    }

    private void retire(String id, @Nullable Part part, Optional<NodeId> successor, Instant now) {
        if (part != null) {
            parts.put(id, new RetiredPart(part.epoch(), successor, keepUntil(part, now)));
            unacknowledged.remove(id);
        }
    }

    /** A void copy lasts until its deadline, and so must what tells its holder that it is void. */
    private Instant keepUntil(@Nullable Part part, Instant now) {
        Instant until = now.plus(times.forgetAfter());
        return part != null && part.keepUntil().isAfter(until) ? part.keepUntil() : until;
    }

    private static List<WorkOperation> forget(OwnerMachine owner) {
        List<WorkOperation> operations = new ArrayList<>();
        String id = owner.request().id();
        for (NodeId peer : owner.rivals().stream().sorted().toList()) {
            operations.add(
                    new WorkOperation.SendDiscard(
                            id, peer, Epoch.startOfTermAfter(Epoch.term(owner.epoch()))));
        }
        return operations;
    }

    /** Ends an owned request whose caller has read the whole answer or has gone. */
    List<WorkOperation> close(String id, Instant now) {
        lock.lock();
        try {
            if (!(parts.get(id) instanceof OwnerMachine owner)) {
                return List.of();
            }
            List<WorkOperation> operations = new ArrayList<>(owner.attempt().stop());
            operations.addAll(forget(owner));
            retire(id, owner, Optional.empty(), now);
            return operations;
        } finally {
            lock.unlock();
        }
    }

    Ack onCopy(NodeId from, WorkCopy copy, Instant now) {
        lock.lock();
        try {
            Part part = parts.get(copy.requestId());
            Optional<CopyCodec.Decoded> decoded = CopyCodec.decode(copy);
            if (decoded.isPresent() && now.isBefore(copy.deadline()) && takes(part, from, copy)) {
                if (part instanceof HolderMachine holder && holder.owner().equals(from)) {
                    holder.replace(copy.epoch(), decoded.get().answer());
                } else {
                    var holder = new HolderMachine(from, copy.epoch(), decoded.get());
                    parts.put(copy.requestId(), holder);
                }
            }
            return ack(from, copy.requestId());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns whether a copy is to be kept. A holder stays with its owner within a term, since that
     * owner counts on it.
     */
    private static boolean takes(@Nullable Part part, NodeId from, WorkCopy copy) {
        return switch (part) {
            case null -> true;
            case RetiredPart retired -> copy.epoch() > retired.epoch();
            case OwnerMachine owner -> false;
            case HolderMachine holder ->
                    copy.epoch() > holder.epoch()
                            && (holder.owner().equals(from)
                                    || Epoch.term(copy.epoch()) > Epoch.term(holder.epoch()));
        };
    }

    private Ack ack(NodeId from, String id) {
        Part part = parts.get(id);
        Optional<Integer> position =
                part instanceof HolderMachine holder && holder.owner().equals(from)
                        ? Optional.of(holder.answer().position())
                        : Optional.empty();
        return new Ack(position, part == null ? 0 : part.epoch());
    }

    Ack onChunk(NodeId from, WorkChunk chunk) {
        lock.lock();
        try {
            Part part = parts.get(chunk.requestId());
            if (part instanceof HolderMachine holder && holder.owner().equals(from)) {
                holder.add(chunk);
            }
            return ack(from, chunk.requestId());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Handles the notice of {@code from} that it continues the request in {@code epoch}. Returns
     * the epoch now known if this node gives up its part, else empty.
     */
    Optional<Integer> onRelinquish(
            NodeId from, String id, int epoch, Instant now, List<WorkOperation> operations) {
        lock.lock();
        try {
            Part part = parts.get(id);
            boolean agreed =
                    switch (part) {
                        case null -> true;
                        // A node that gave up to another has nothing left to give: the copy that
                        // the sender continues from may be void.
                        case RetiredPart retired -> retired.successor().equals(Optional.of(from));
                        case OwnerMachine owner -> owner.yieldsTo(from, epoch);
                        case HolderMachine holder ->
                                epoch > holder.epoch() && holder.owner().equals(from);
                    };
            if (!agreed) {
                return Optional.empty();
            }
            if (part instanceof OwnerMachine owner) {
                operations.addAll(owner.retire(Optional.of(from)));
            }
            int known = part == null ? epoch : Math.max(epoch, part.epoch());
            parts.put(id, new RetiredPart(known, Optional.of(from), keepUntil(part, now)));
            unacknowledged.remove(id);
            return Optional.of(known);
        } finally {
            lock.unlock();
        }
    }

    Optional<Part> part(String id) {
        lock.lock();
        try {
            return Optional.ofNullable(parts.get(id));
        } finally {
            lock.unlock();
        }
    }

    List<WorkOperation> onHandover(NodeId from, String id, Instant now) {
        lock.lock();
        try {
            return parts.get(id) instanceof HolderMachine holder && holder.owner().equals(from)
                    ? takeOver(id, holder, true, now)
                    : List.of();
        } finally {
            lock.unlock();
        }
    }

    private List<WorkOperation> takeOver(
            String id, HolderMachine holder, boolean handedOver, Instant now) {
        OwnerMachine owner = OwnerMachine.takeOver(holder, handedOver, view, times, now);
        parts.put(id, owner);
        return after(id, owner.copy(now), now);
    }

    /** Adds the chunks to send to each copy holder that {@code ready} accepts. */
    void collectProgress(Predicate<NodeId> ready, Map<NodeId, List<WorkChunk>> into, Instant now) {
        lock.lock();
        try {
            Iterator<String> ids = unacknowledged.iterator();
            while (ids.hasNext()) {
                if (!(parts.get(ids.next()) instanceof OwnerMachine owner)) {
                    ids.remove();
                    continue;
                }
                Optional<NodeId> holder = owner.holder();
                if (holder.isPresent() && !ready.test(holder.get())) {
                    continue;
                }
                List<WorkChunk> chunks = owner.progress(now);
                if (chunks.isEmpty()) {
                    ids.remove();
                } else {
                    into.computeIfAbsent(holder.orElseThrow(), k -> new ArrayList<>())
                            .addAll(chunks);
                }
            }
        } finally {
            lock.unlock();
        }
    }

    ReadResult read(String id, int offset) {
        lock.lock();
        try {
            return switch (parts.get(id)) {
                case null -> new ReadResult.Unknown();
                case OwnerMachine owner ->
                        new ReadResult.Owned(
                                owner.read(offset), owner.epoch(), owner.attempt().failed());
                case HolderMachine holder ->
                        new ReadResult.Redirect(holder.owner(), holder.epoch());
                case RetiredPart retired ->
                        retired.successor().isPresent()
                                ? new ReadResult.Redirect(
                                        retired.successor().get(), retired.epoch())
                                : new ReadResult.Unknown();
            };
        } finally {
            lock.unlock();
        }
    }

    List<WorkOperation> onMember(Member member, Instant now) {
        return forEach(
                now,
                (id, part) ->
                        switch (part) {
                            case OwnerMachine owner ->
                                    owner.onMember(member.id(), member.state(), now);
                            case HolderMachine holder ->
                                    member.state() == MemberState.DEAD
                                                    && holder.owner().equals(member.id())
                                            ? takeOver(id, holder, false, now)
                                            : List.of();
                            case RetiredPart retired -> List.of();
                        });
    }

    List<WorkOperation> tick(Instant now) {
        return forEach(now, (id, part) -> tick(id, part, now));
    }

    private List<WorkOperation> tick(String id, Part part, Instant now) {
        if (!now.isBefore(part.keepUntil())) {
            parts.remove(id);
            return part instanceof OwnerMachine owner ? owner.retire(Optional.empty()) : List.of();
        }
        return switch (part) {
            case OwnerMachine owner -> owner.tick(now);
            case HolderMachine holder ->
                    isDead(holder.owner()) ? takeOver(id, holder, false, now) : List.of();
            case RetiredPart retired -> List.of();
        };
    }

    private boolean isDead(NodeId node) {
        return view.find(node).map(m -> m.state() == MemberState.DEAD).orElse(true);
    }

    /** Starts to hand over; streams only if {@code streams}, else they are left to finish. */
    List<WorkOperation> handOver(boolean streams, Instant now) {
        return forEach(
                now,
                (id, part) ->
                        part instanceof OwnerMachine owner && (streams || !owner.hasCallerHere())
                                ? owner.handOver()
                                : List.of());
    }

    private List<WorkOperation> forEach(
            Instant now, BiFunction<String, Part, List<WorkOperation>> step) {
        lock.lock();
        try {
            List<WorkOperation> all = new ArrayList<>();
            for (Map.Entry<String, Part> entry : List.copyOf(parts.entrySet())) {
                all.addAll(
                        after(entry.getKey(), step.apply(entry.getKey(), entry.getValue()), now));
            }
            return all;
        } finally {
            lock.unlock();
        }
    }

    WorkCounts counts() {
        lock.lock();
        try {
            var counts = new WorkCounts(0, 0, 0, 0, 0);
            for (Part part : parts.values()) {
                counts = counts.plus(count(part));
            }
            return counts;
        } finally {
            lock.unlock();
        }
    }

    private static WorkCounts count(Part part) {
        return switch (part) {
            case OwnerMachine owner ->
                    new WorkCounts(
                            owner.hasCallerHere() ? 1 : 0,
                            owner.hasCallerHere() ? 0 : 1,
                            0,
                            owner.settledWithoutCopy() ? 1 : 0,
                            owner.copiedInZone() ? 1 : 0);
            case HolderMachine holder -> new WorkCounts(0, 0, 1, 0, 0);
            case RetiredPart retired -> new WorkCounts(0, 0, 0, 0, 0);
        };
    }
}
