package org.carobdoor.internal.work;

import static org.carobdoor.internal.Preconditions.checkInvariant;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.MemberState;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.RunState;
import org.carobdoor.message.WorkChunk;

/**
 * Owns one accepted request: keeps a copy holder, and releases tokens that the copy holder has.
 *
 * <p>{@code rivals} are the nodes that hold, or may hold, a copy of this term and could therefore
 * take over. Tokens are released only while the acknowledged copy holder is the only rival. To
 * change the copy holder the owner copies to a new node, and then gets rid of every other rival:
 * with its consent, or by winning the decision of the term.
 */
final class OwnerMachine implements Part {
    private enum Phase {
        /** A copy is on its way to {@code target}. */
        COPYING,
        /** The copy is held; the other rivals are asked to give up. */
        SETTLING,
        /** The decision of the term is being written or read. */
        DECIDING,
        /** The copy holder is the only rival. */
        STABLE,
        /** There is no rival and no copy. */
        UNCOPIED,
        /** No node could take the copy; tried again at {@code retryAt}. */
        WAITING
    }

    private final WorkRequest request;
    private final AnswerBuffer answer;
    private final MembershipView view;
    private final WorkTimes times;
    private final OwnerAttempt attempt;
    private final Set<NodeId> rivals = new HashSet<>(2);
    private final Set<NodeId> tried = new HashSet<>(2);
    private final Optional<NodeId> formerOwner;

    private Phase phase = Phase.WAITING;
    private int epoch;
    private Optional<NodeId> target = Optional.empty();
    private boolean targetIsNew;
    private boolean sameZone;
    private boolean decisionSent;
    private boolean accepted;
    private boolean settledOnce;
    private boolean handover;
    private int acked;
    private int released;
    private int sentTokens;
    private Instant retryAt = Instant.MAX;
    private Instant ackBy = Instant.MAX;
    private Instant limit = Instant.MAX;
    private boolean handedOver;

    private OwnerMachine(
            WorkRequest request,
            AnswerBuffer answer,
            int epoch,
            Optional<NodeId> formerOwner,
            MembershipView view,
            WorkTimes times) {
        this.request = request;
        this.answer = answer;
        this.epoch = epoch;
        this.formerOwner = formerOwner;
        this.view = view;
        this.times = times;
        this.attempt = new OwnerAttempt(request, answer);
    }

    /** Returns the machine of a request that a caller has sent to this node. */
    static OwnerMachine receive(
            WorkRequest request, MembershipView view, WorkTimes times, Instant now) {
        var machine =
                new OwnerMachine(
                        request,
                        new AnswerBuffer(),
                        Epoch.FIRST - 1,
                        Optional.empty(),
                        view,
                        times);
        machine.limit = now.plus(times.acceptWithin());
        return machine;
    }

    /**
     * Returns the machine that continues what {@code holder} holds.
     *
     * @param handedOver whether the owner asked for it; else the owner is believed to be dead
     */
    static OwnerMachine takeOver(
            HolderMachine holder,
            boolean handedOver,
            MembershipView view,
            WorkTimes times,
            Instant now) {
        var machine =
                new OwnerMachine(
                        holder.request(),
                        holder.answer(),
                        holder.epoch(),
                        Optional.of(holder.owner()),
                        view,
                        times);
        machine.accepted = true;
        machine.sentTokens = holder.answer().tokens();
        machine.rivals.add(holder.owner());
        machine.tried.add(holder.owner());
        machine.handedOver = handedOver;
        machine.limit = now.plus(times.aloneAfter());
        return machine;
    }

    /** Starts, or starts again, to look for a copy holder. */
    List<WorkOperation> copy(Instant now) {
        retryAt = Instant.MAX;
        Optional<NodeId> next =
                HolderChoice.choose(request.id(), view, tried).map(member -> member.id());
        if (next.isEmpty()) {
            return noCandidate(now);
        }
        NodeId to = next.get();
        phase = Phase.COPYING;
        epoch = Epoch.nextStep(epoch);
        target = next;
        targetIsNew = rivals.add(to);
        sameZone = view.find(to).map(m -> m.zone().equals(view.self().zone())).orElse(false);
        answer.joinAfter(Math.max(sentTokens, released));
        sentTokens = answer.tokens();
        return List.of(
                new WorkOperation.SendCopy(
                        request.id(), to, CopyCodec.encode(request, epoch, answer)));
    }

    private List<WorkOperation> noCandidate(Instant now) {
        target = Optional.empty();
        if (!accepted && request.submitted()) {
            return rivals.isEmpty() ? refuse() : await(now);
        }
        // A node that takes over and reaches no peer is more likely to be cut off than to be the
        // last one, so it does not continue alone at once.
        boolean mayBeAlone = settledOnce || handedOver || !accepted || !now.isBefore(limit);
        if (!rivals.isEmpty() && !mayBeAlone) {
            return await(now);
        }
        epoch = Epoch.nextStep(epoch);
        return settle(now);
    }

    private List<WorkOperation> await(Instant now) {
        phase = Phase.WAITING;
        retryAt = now.plus(times.retryAfter());
        return List.of();
    }

    private List<WorkOperation> refuse() {
        RunState state = rivals.isEmpty() ? RunState.NOT_RUN : RunState.UNKNOWN;
        return List.of(new WorkOperation.Refused(request.id(), state));
    }

    List<WorkOperation> onCopyOutcome(NodeId from, int copyEpoch, CopyOutcome result, Instant now) {
        if (phase != Phase.COPYING || copyEpoch != epoch || !target.equals(Optional.of(from))) {
            return List.of();
        }
        return switch (result) {
            case CopyOutcome.Held(int position) -> {
                acked = Math.min(position, answer.position());
                yield settle(now);
            }
            case CopyOutcome.NotSent() -> {
                if (targetIsNew) {
                    rivals.remove(from);
                }
                tried.add(from);
                yield copy(now);
            }
            case CopyOutcome.NotConfirmed() -> {
                tried.add(from);
                yield copy(now);
            }
        };
    }

    private List<WorkOperation> settle(Instant now) {
        List<NodeId> leftover =
                rivals.stream().filter(peer -> !target.equals(Optional.of(peer))).toList();
        if (leftover.isEmpty()) {
            return settled(now);
        }
        if (!leftover.stream().allMatch(this::isLive)) {
            return decide();
        }
        phase = Phase.SETTLING;
        List<WorkOperation> operations = new ArrayList<>();
        for (NodeId peer : leftover) {
            operations.add(new WorkOperation.AskRelinquish(request.id(), peer, epoch));
        }
        return operations;
    }

    List<WorkOperation> onRelinquishOutcome(
            NodeId peer, int askedEpoch, boolean agreed, Instant now) {
        if (phase != Phase.SETTLING || askedEpoch != epoch) {
            return List.of();
        }
        if (!agreed) {
            return decide();
        }
        rivals.remove(peer);
        return rivals.equals(targets()) ? settled(now) : List.of();
    }

    private List<WorkOperation> decide() {
        phase = Phase.DECIDING;
        decisionSent = true;
        retryAt = Instant.MAX;
        return List.of(
                new WorkOperation.Decide(
                        request.id(),
                        Epoch.term(epoch),
                        view.self().id(),
                        target,
                        request.deadline()));
    }

    /** Handles the stored decision of {@code term}; empty means that it could not be read. */
    List<WorkOperation> onDecision(int term, Optional<OwnershipDecision> stored, Instant now) {
        if (phase != Phase.DECIDING || term != Epoch.term(epoch)) {
            return List.of();
        }
        if (stored.isEmpty()) {
            retryAt = now.plus(times.retryAfter());
            return List.of();
        }
        OwnershipDecision decision = stored.get();
        decisionSent = false;
        epoch = Epoch.startOfTermAfter(term);
        if (decision.winner().equals(view.self().id())) {
            return won(decision, now);
        }
        boolean heldForWinner =
                formerOwner.equals(Optional.of(decision.winner()))
                        && decision.holder().equals(Optional.of(view.self().id()));
        if (heldForWinner) {
            rivals.clear();
            rivals.add(decision.winner());
            return copy(now);
        }
        return retire(Optional.of(decision.winner()));
    }

    private List<WorkOperation> won(OwnershipDecision decision, Instant now) {
        rivals.clear();
        decision.holder().ifPresent(rivals::add);
        if (!decision.holder().equals(target)) {
            // An earlier write of this node, whose answer was lost, is the one that took effect.
            return copy(now);
        }
        return settled(now);
    }

    private Set<NodeId> targets() {
        return target.map(Set::of).orElse(Set.of());
    }

    private List<WorkOperation> settled(Instant now) {
        checkInvariant(rivals.equals(targets()), "settled with a rival left: " + request.id());
        checkInvariant(
                target.isEmpty() || acked >= released,
                "the copy holder lacks released tokens of " + request.id());
        phase = target.isPresent() ? Phase.STABLE : Phase.UNCOPIED;
        settledOnce = true;
        tried.clear();
        ackBy = now.plus(times.ackWithin());
        retryAt = now.plus(times.retryAfter());
        List<WorkOperation> operations = new ArrayList<>();
        if (!accepted) {
            accepted = true;
            operations.add(new WorkOperation.Accepted(request.id(), target, sameZone));
        }
        operations.addAll(release());
        operations.addAll(attempt.startIfNeeded());
        operations.addAll(sendHandover());
        return operations;
    }

    private List<WorkOperation> release() {
        int position =
                switch (phase) {
                    case STABLE -> Math.min(acked, answer.position());
                    case UNCOPIED -> answer.position();
                    default -> released;
                };
        if (position <= released) {
            return List.of();
        }
        released = position;
        return List.of(new WorkOperation.Released(request.id()));
    }

    List<WorkOperation> onTokens(
            int attemptNumber, int tokens, String text, boolean last, Instant now) {
        if (acked >= answer.position()) {
            ackBy = now.plus(times.ackWithin());
        }
        return attempt.add(attemptNumber, tokens, text, last) ? release() : List.of();
    }

    OwnerAttempt attempt() {
        return attempt;
    }

    /** Returns the chunks that the copy holder has not acknowledged. */
    List<WorkChunk> progress(Instant now) {
        if (phase != Phase.STABLE || acked >= answer.position()) {
            ackBy = now.plus(times.ackWithin());
            return List.of();
        }
        answer.joinAfter(Math.max(sentTokens, released));
        sentTokens = answer.tokens();
        return answer.chunksFrom(request.id(), epoch, acked);
    }

    /** Handles an acknowledgement; an empty position means that the peer has no copy. */
    List<WorkOperation> onAck(NodeId from, Optional<Integer> position, int peerEpoch, Instant now) {
        if (phase != Phase.STABLE || !target.equals(Optional.of(from)) || peerEpoch > epoch) {
            return List.of();
        }
        if (position.isEmpty()) {
            return replaceHolder(now, Set.of());
        }
        if (peerEpoch == epoch && position.get() > acked) {
            acked = Math.min(position.get(), answer.position());
            ackBy = now.plus(times.ackWithin());
        }
        return release();
    }

    private List<WorkOperation> replaceHolder(Instant now, Set<NodeId> without) {
        tried.clear();
        tried.addAll(without);
        return copy(now);
    }

    List<WorkOperation> onMember(NodeId peer, MemberState state, Instant now) {
        boolean gone = state == MemberState.DEAD || state == MemberState.LEAVING;
        if (phase == Phase.STABLE && gone && target.equals(Optional.of(peer))) {
            return replaceHolder(now, Set.of(peer));
        }
        return List.of();
    }

    List<WorkOperation> tick(Instant now) {
        if (!accepted && !now.isBefore(limit)) {
            return refuse();
        }
        if (phase == Phase.STABLE && acked < answer.position() && !now.isBefore(ackBy)) {
            return replaceHolder(now, Set.of(target.orElseThrow()));
        }
        if (now.isBefore(retryAt)) {
            return List.of();
        }
        retryAt = now.plus(times.retryAfter());
        return switch (phase) {
            case WAITING ->
                    replaceHolder(now, accepted && !settledOnce ? formerOwners() : Set.of());
            case DECIDING -> decide();
            case UNCOPIED -> hasCandidate() ? replaceHolder(now, Set.of()) : List.of();
            case STABLE -> tickStable(now);
            case COPYING, SETTLING -> List.of();
        };
    }

    private List<WorkOperation> tickStable(Instant now) {
        NodeId holder = target.orElseThrow();
        MemberState state = view.find(holder).map(m -> m.state()).orElse(MemberState.DEAD);
        if (state == MemberState.DEAD || (state == MemberState.LEAVING && hasCandidate())) {
            return replaceHolder(now, Set.of(holder));
        }
        if (sameZone && HolderChoice.outside(request.id(), view, Set.of()).isPresent()) {
            return replaceHolder(now, Set.of());
        }
        return sendHandover();
    }

    private Set<NodeId> formerOwners() {
        return formerOwner.map(Set::of).orElse(Set.of());
    }

    private boolean hasCandidate() {
        return HolderChoice.choose(request.id(), view, Set.of()).isPresent();
    }

    private boolean isLive(NodeId peer) {
        return view.find(peer).map(m -> m.state() != MemberState.DEAD).orElse(false);
    }

    /** Returns whether a caller holds a stream open at this node. */
    boolean hasCallerHere() {
        return !request.submitted() && formerOwner.isEmpty();
    }

    /** Asks the copy holder to continue, now or as soon as there is one. */
    List<WorkOperation> handOver() {
        handover = true;
        return sendHandover();
    }

    private List<WorkOperation> sendHandover() {
        return handover && phase == Phase.STABLE
                ? List.of(new WorkOperation.SendHandover(request.id(), target.orElseThrow()))
                : List.of();
    }

    /** Returns whether this node gives up when {@code from} continues in {@code newEpoch}. */
    boolean yieldsTo(NodeId from, int newEpoch) {
        return accepted && newEpoch > epoch && !decisionSent && rivals.equals(Set.of(from));
    }

    /** Returns the operations of giving up. */
    List<WorkOperation> retire(Optional<NodeId> successor) {
        List<WorkOperation> operations = new ArrayList<>();
        if (!accepted && successor.isPresent()) {
            // The request runs at the node that won, so the caller is to read it there.
            operations.add(new WorkOperation.Accepted(request.id(), successor, false));
        }
        operations.addAll(attempt.stop());
        operations.add(new WorkOperation.Retired(request.id(), successor));
        return operations;
    }

    /** Returns the tokens that can be read from {@code offset} on. */
    AnswerSlice read(int offset) {
        return answer.slice(Math.min(offset, released), released);
    }

    int released() {
        return released;
    }

    boolean accepted() {
        return accepted;
    }

    boolean settledWithoutCopy() {
        return phase == Phase.UNCOPIED;
    }

    boolean copiedInZone() {
        return phase == Phase.STABLE && sameZone;
    }

    Optional<NodeId> holder() {
        return phase == Phase.STABLE ? target : Optional.empty();
    }

    Set<NodeId> rivals() {
        return Set.copyOf(rivals);
    }

    WorkRequest request() {
        return request;
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
