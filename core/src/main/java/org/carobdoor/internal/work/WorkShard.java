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

/** A subset of the requests of a {@link WorkTable}, guarded by one lock. */
final class WorkShard {
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, RequestRole> roles = new HashMap<>();
    private final Set<String> unacknowledged = new HashSet<>();
    private final MembershipView view;
    private final WorkTimes times;

    WorkShard(MembershipView view, WorkTimes times) {
        this.view = view;
        this.times = times;
    }

    /**
     * The acknowledgement for one request; empty position if this node stores no copy for the peer.
     */
    record Ack(Optional<Integer> position, int epoch) {}

    List<WorkOperation> accept(WorkRequest request, Instant now) {
        lock.lock();
        try {
            checkInvariant(!roles.containsKey(request.id()), "duplicate request id");
            OwnerRole owner = OwnerRole.receive(request, view, times, now);
            roles.put(request.id(), owner);
            return retireIfEnded(request.id(), owner.sendCopy(now), now);
        } finally {
            lock.unlock();
        }
    }

    /** Applies {@code step} if this node owns {@code id}. */
    List<WorkOperation> withOwner(
            String id, Instant now, BiFunction<OwnerRole, Instant, List<WorkOperation>> step) {
        lock.lock();
        try {
            if (!(roles.get(id) instanceof OwnerRole owner)) {
                return List.of();
            }
            int epoch = owner.epoch();
            int released = owner.releasedPosition();
            List<WorkOperation> operations = step.apply(owner, now);
            checkInvariant(owner.epoch() >= epoch, "the epoch decreased for request " + id);
            checkInvariant(
                    owner.releasedPosition() >= released,
                    "the released position decreased for request " + id);
            unacknowledged.add(id);
            return retireIfEnded(id, operations, now);
        } finally {
            lock.unlock();
        }
    }

    /** Replaces the role with a retired one if an operation ends the role of this node. */
    private List<WorkOperation> retireIfEnded(
            String id, List<WorkOperation> operations, Instant now) {
        List<WorkOperation> all = operations;
        for (WorkOperation operation : operations) {
            if (operation instanceof WorkOperation.Retired(var unused, var successor)) {
                retire(id, roles.get(id), successor, now);
            } else if (operation instanceof WorkOperation.Refused
                    && roles.get(id) instanceof OwnerRole owner) {
                all = new ArrayList<>(operations);
                all.addAll(discardCopies(owner));
                retire(id, owner, Optional.empty(), now);
            }
        }
        return all;
    }

    private void retire(
            String id, @Nullable RequestRole role, Optional<NodeId> successor, Instant now) {
        if (role != null) {
            roles.put(id, new RetiredRole(role.epoch(), successor, retiredUntil(role, now)));
            unacknowledged.remove(id);
        }
    }

    /**
     * Returns when the retired role can be removed: not before the deadline of the request, because
     * a peer may keep a superseded copy until then, and this role shows that it is superseded.
     */
    private Instant retiredUntil(@Nullable RequestRole role, Instant now) {
        Instant until = now.plus(times.retiredRetention());
        return role != null && role.expiresAt().isAfter(until) ? role.expiresAt() : until;
    }

    private static List<WorkOperation> discardCopies(OwnerRole owner) {
        List<WorkOperation> operations = new ArrayList<>();
        String id = owner.request().id();
        for (NodeId peer : owner.potentialOwners().stream().sorted().toList()) {
            operations.add(
                    new WorkOperation.SendDiscard(
                            id, peer, Epoch.startOfTermAfter(Epoch.term(owner.epoch()))));
        }
        return operations;
    }

    /** Ends an owned request whose caller has read the complete answer or has disconnected. */
    List<WorkOperation> close(String id, Instant now) {
        lock.lock();
        try {
            if (!(roles.get(id) instanceof OwnerRole owner)) {
                return List.of();
            }
            List<WorkOperation> operations = new ArrayList<>(owner.attempt().stop());
            operations.addAll(discardCopies(owner));
            retire(id, owner, Optional.empty(), now);
            return operations;
        } finally {
            lock.unlock();
        }
    }

    Ack onCopy(NodeId from, WorkCopy copy, Instant now) {
        lock.lock();
        try {
            RequestRole role = roles.get(copy.requestId());
            Optional<CopyCodec.Decoded> decoded = CopyCodec.decode(copy);
            if (decoded.isPresent()
                    && now.isBefore(copy.deadline())
                    && acceptsCopy(role, from, copy)) {
                if (role instanceof CopyHolderRole holder && holder.owner().equals(from)) {
                    holder.replace(copy.epoch(), decoded.get().answer());
                } else {
                    var holder = new CopyHolderRole(from, copy.epoch(), decoded.get());
                    roles.put(copy.requestId(), holder);
                }
            }
            return ack(from, copy.requestId());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns whether a copy is to be stored. Within a term a copy holder accepts copies only from
     * its owner, since that owner depends on it.
     */
    private static boolean acceptsCopy(@Nullable RequestRole role, NodeId from, WorkCopy copy) {
        return switch (role) {
            case null -> true;
            case RetiredRole retired -> copy.epoch() > retired.epoch();
            case OwnerRole owner -> false;
            case CopyHolderRole holder ->
                    copy.epoch() > holder.epoch()
                            && (holder.owner().equals(from)
                                    || Epoch.term(copy.epoch()) > Epoch.term(holder.epoch()));
        };
    }

    private Ack ack(NodeId from, String id) {
        RequestRole role = roles.get(id);
        Optional<Integer> position =
                role instanceof CopyHolderRole holder && holder.owner().equals(from)
                        ? Optional.of(holder.answer().position())
                        : Optional.empty();
        return new Ack(position, role == null ? 0 : role.epoch());
    }

    Ack onChunk(NodeId from, WorkChunk chunk) {
        lock.lock();
        try {
            RequestRole role = roles.get(chunk.requestId());
            if (role instanceof CopyHolderRole holder && holder.owner().equals(from)) {
                holder.add(chunk);
            }
            return ack(from, chunk.requestId());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Handles the notice of {@code from} that it continues the request in {@code epoch}. Returns
     * the highest known epoch if this node relinquishes its role, otherwise empty.
     */
    Optional<Integer> onRelinquish(
            NodeId from, String id, int epoch, Instant now, List<WorkOperation> operations) {
        lock.lock();
        try {
            RequestRole role = roles.get(id);
            boolean agreed =
                    switch (role) {
                        case null -> true;
                        // A node that relinquished to another one must not consent again: the copy
                        // from which the sender continues may be superseded.
                        case RetiredRole retired -> retired.successor().equals(Optional.of(from));
                        case OwnerRole owner -> owner.relinquishesTo(from, epoch);
                        case CopyHolderRole holder ->
                                epoch > holder.epoch() && holder.owner().equals(from);
                    };
            if (!agreed) {
                return Optional.empty();
            }
            if (role instanceof OwnerRole owner) {
                operations.addAll(owner.retire(Optional.of(from)));
            }
            int known = role == null ? epoch : Math.max(epoch, role.epoch());
            roles.put(id, new RetiredRole(known, Optional.of(from), retiredUntil(role, now)));
            unacknowledged.remove(id);
            return Optional.of(known);
        } finally {
            lock.unlock();
        }
    }

    Optional<RequestRole> role(String id) {
        lock.lock();
        try {
            return Optional.ofNullable(roles.get(id));
        } finally {
            lock.unlock();
        }
    }

    List<WorkOperation> onHandover(NodeId from, String id, Instant now) {
        lock.lock();
        try {
            return roles.get(id) instanceof CopyHolderRole holder && holder.owner().equals(from)
                    ? takeOver(id, holder, true, now)
                    : List.of();
        } finally {
            lock.unlock();
        }
    }

    private List<WorkOperation> takeOver(
            String id, CopyHolderRole holder, boolean handedOver, Instant now) {
        OwnerRole owner = OwnerRole.takeOver(holder, handedOver, view, times, now);
        roles.put(id, owner);
        return retireIfEnded(id, owner.sendCopy(now), now);
    }

    /** Adds to {@code into} the chunks to send to the copy holders that {@code ready} accepts. */
    void collectProgress(Predicate<NodeId> ready, Map<NodeId, List<WorkChunk>> into, Instant now) {
        lock.lock();
        try {
            Iterator<String> ids = unacknowledged.iterator();
            while (ids.hasNext()) {
                if (!(roles.get(ids.next()) instanceof OwnerRole owner)) {
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
            return switch (roles.get(id)) {
                case null -> new ReadResult.Unknown();
                case OwnerRole owner ->
                        new ReadResult.Owned(
                                owner.read(offset), owner.epoch(), owner.attempt().failed());
                case CopyHolderRole holder ->
                        new ReadResult.Redirect(holder.owner(), holder.epoch());
                case RetiredRole retired ->
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
        return applyToEach(
                now,
                (id, role) ->
                        switch (role) {
                            case OwnerRole owner ->
                                    owner.onMember(member.id(), member.state(), now);
                            case CopyHolderRole holder ->
                                    member.state() == MemberState.DEAD
                                                    && holder.owner().equals(member.id())
                                            ? takeOver(id, holder, false, now)
                                            : List.of();
                            case RetiredRole retired -> List.of();
                        });
    }

    List<WorkOperation> tick(Instant now) {
        return applyToEach(now, (id, role) -> tick(id, role, now));
    }

    private List<WorkOperation> tick(String id, RequestRole role, Instant now) {
        if (!now.isBefore(role.expiresAt())) {
            roles.remove(id);
            return role instanceof OwnerRole owner ? owner.retire(Optional.empty()) : List.of();
        }
        return switch (role) {
            case OwnerRole owner -> owner.tick(now);
            case CopyHolderRole holder ->
                    isDead(holder.owner()) ? takeOver(id, holder, false, now) : List.of();
            case RetiredRole retired -> List.of();
        };
    }

    private boolean isDead(NodeId node) {
        return view.find(node).map(m -> m.state() == MemberState.DEAD).orElse(true);
    }

    /** Hands over owned requests; those with a local caller only if {@code streams}. */
    List<WorkOperation> handOver(boolean streams, Instant now) {
        return applyToEach(
                now,
                (id, role) ->
                        role instanceof OwnerRole owner && (streams || !owner.hasLocalCaller())
                                ? owner.requestHandover()
                                : List.of());
    }

    private List<WorkOperation> applyToEach(
            Instant now, BiFunction<String, RequestRole, List<WorkOperation>> step) {
        lock.lock();
        try {
            List<WorkOperation> all = new ArrayList<>();
            for (Map.Entry<String, RequestRole> entry : List.copyOf(roles.entrySet())) {
                all.addAll(
                        retireIfEnded(
                                entry.getKey(), step.apply(entry.getKey(), entry.getValue()), now));
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
            for (RequestRole role : roles.values()) {
                counts = counts.plus(count(role));
            }
            return counts;
        } finally {
            lock.unlock();
        }
    }

    private static WorkCounts count(RequestRole role) {
        return switch (role) {
            case OwnerRole owner ->
                    new WorkCounts(
                            owner.hasLocalCaller() ? 1 : 0,
                            owner.hasLocalCaller() ? 0 : 1,
                            0,
                            owner.isWithoutCopy() ? 1 : 0,
                            owner.hasCopyInSameZone() ? 1 : 0);
            case CopyHolderRole holder -> new WorkCounts(0, 0, 1, 0, 0);
            case RetiredRole retired -> new WorkCounts(0, 0, 0, 0, 0);
        };
    }
}
