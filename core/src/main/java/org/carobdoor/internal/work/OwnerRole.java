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
 * Owns one accepted request: maintains a copy holder and releases the tokens that it has stored.
 *
 * <p>{@code potentialOwners} are the other nodes that store, or may store, a copy of this term and
 * could therefore take over. Tokens are released only while the acknowledged copy holder is the
 * only one of them. To change the copy holder, the owner sends a copy to a new node and then
 * excludes every other potential owner: with its consent, or by winning the decision of the term.
 */
final class OwnerRole implements RequestRole {
    private enum Phase {
        /** A copy was sent to {@code copyTarget}; the reply is pending. */
        COPYING,
        /** The copy is stored; the other potential owners were asked to relinquish. */
        AWAITING_RELINQUISH,
        /** The decision of the term is being written; a failed write is retried. */
        DECIDING,
        /** The copy holder is the only other potential owner. */
        STABLE,
        /** There is no copy and no other potential owner. */
        WITHOUT_COPY,
        /** No node is available for the copy; retried at {@code retryAt}. */
        RETRY_DELAY
    }

    private final WorkRequest request;
    private final AnswerBuffer answer;
    private final MembershipView view;
    private final WorkTimes times;
    private final OwnerAttempt attempt;
    private final Set<NodeId> potentialOwners = new HashSet<>(2);
    private final Set<NodeId> triedHolders = new HashSet<>(2);
    private final Optional<NodeId> formerOwner;

    private Phase phase = Phase.RETRY_DELAY;
    private int epoch;
    private Optional<NodeId> copyTarget = Optional.empty();
    private boolean copyTargetAdded;
    private boolean sameZone;
    private boolean decisionSent;
    private boolean accepted;
    private boolean confirmedOnce;
    private boolean handoverRequested;
    private int ackPosition;
    private int releasedPosition;
    private int sentTokens;
    private Instant retryAt = Instant.MAX;
    private Instant ackDeadline = Instant.MAX;

    /** When accepting times out; after a takeover, when continuing without a copy is allowed. */
    private Instant startDeadline = Instant.MAX;

    private boolean startedByHandover;

    private OwnerRole(
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

    /** Returns the role for a request that a caller has sent to this node. */
    static OwnerRole receive(
            WorkRequest request, MembershipView view, WorkTimes times, Instant now) {
        var role =
                new OwnerRole(
                        request,
                        new AnswerBuffer(),
                        Epoch.FIRST - 1,
                        Optional.empty(),
                        view,
                        times);
        role.startDeadline = now.plus(times.acceptWithin());
        return role;
    }

    /**
     * Returns the role that continues a request from the copy of {@code holder}.
     *
     * @param handedOver whether the owner requested the takeover; otherwise the owner is considered
     *     dead
     */
    static OwnerRole takeOver(
            CopyHolderRole holder,
            boolean handedOver,
            MembershipView view,
            WorkTimes times,
            Instant now) {
        var role =
                new OwnerRole(
                        holder.request(),
                        holder.answer(),
                        holder.epoch(),
                        Optional.of(holder.owner()),
                        view,
                        times);
        role.accepted = true;
        role.sentTokens = holder.answer().tokens();
        role.potentialOwners.add(holder.owner());
        role.triedHolders.add(holder.owner());
        role.startedByHandover = handedOver;
        role.startDeadline = now.plus(times.isolationTimeout());
        return role;
    }

    /** Selects a copy holder and sends it a copy. */
    List<WorkOperation> sendCopy(Instant now) {
        retryAt = Instant.MAX;
        Optional<NodeId> next =
                HolderSelector.choose(request.id(), view, triedHolders).map(member -> member.id());
        if (next.isEmpty()) {
            return onNoCandidate(now);
        }
        NodeId to = next.get();
        phase = Phase.COPYING;
        epoch = Epoch.nextStep(epoch);
        copyTarget = next;
        copyTargetAdded = potentialOwners.add(to);
        sameZone = view.find(to).map(m -> m.zone().equals(view.self().zone())).orElse(false);
        answer.mergeChunksAfter(Math.max(sentTokens, releasedPosition));
        sentTokens = answer.tokens();
        return List.of(
                new WorkOperation.SendCopy(
                        request.id(), to, CopyCodec.encode(request, epoch, answer)));
    }

    private List<WorkOperation> onNoCandidate(Instant now) {
        copyTarget = Optional.empty();
        if (!accepted && request.submitted()) {
            return potentialOwners.isEmpty() ? refuse() : scheduleRetry(now);
        }
        // A node that takes over and reaches no peer is more likely to be partitioned than to be
        // the last one, so it does not continue without a copy before startDeadline.
        boolean mayHaveNoCopy =
                confirmedOnce || startedByHandover || !accepted || !now.isBefore(startDeadline);
        if (!potentialOwners.isEmpty() && !mayHaveNoCopy) {
            return scheduleRetry(now);
        }
        epoch = Epoch.nextStep(epoch);
        return confirmOwnership(now);
    }

    private List<WorkOperation> scheduleRetry(Instant now) {
        phase = Phase.RETRY_DELAY;
        retryAt = now.plus(times.retryAfter());
        return List.of();
    }

    private List<WorkOperation> refuse() {
        RunState state = potentialOwners.isEmpty() ? RunState.NOT_RUN : RunState.UNKNOWN;
        return List.of(new WorkOperation.Refused(request.id(), state));
    }

    List<WorkOperation> onCopyOutcome(NodeId from, int copyEpoch, CopyOutcome result, Instant now) {
        if (phase != Phase.COPYING || copyEpoch != epoch || !copyTarget.equals(Optional.of(from))) {
            return List.of();
        }
        return switch (result) {
            case CopyOutcome.Held(int position) -> {
                ackPosition = Math.min(position, answer.position());
                yield confirmOwnership(now);
            }
            case CopyOutcome.NotSent() -> {
                if (copyTargetAdded) {
                    potentialOwners.remove(from);
                }
                triedHolders.add(from);
                yield sendCopy(now);
            }
            case CopyOutcome.NotConfirmed() -> {
                triedHolders.add(from);
                yield sendCopy(now);
            }
        };
    }

    private List<WorkOperation> confirmOwnership(Instant now) {
        List<NodeId> others =
                potentialOwners.stream()
                        .filter(peer -> !copyTarget.equals(Optional.of(peer)))
                        .toList();
        if (others.isEmpty()) {
            return onConfirmed(now);
        }
        if (!others.stream().allMatch(this::isLive)) {
            return requestDecision();
        }
        phase = Phase.AWAITING_RELINQUISH;
        List<WorkOperation> operations = new ArrayList<>();
        for (NodeId peer : others) {
            operations.add(new WorkOperation.AskRelinquish(request.id(), peer, epoch));
        }
        return operations;
    }

    List<WorkOperation> onRelinquishOutcome(
            NodeId peer, int askedEpoch, boolean agreed, Instant now) {
        if (phase != Phase.AWAITING_RELINQUISH || askedEpoch != epoch) {
            return List.of();
        }
        if (!agreed) {
            return requestDecision();
        }
        potentialOwners.remove(peer);
        return potentialOwners.equals(copyTargetSet()) ? onConfirmed(now) : List.of();
    }

    private List<WorkOperation> requestDecision() {
        phase = Phase.DECIDING;
        decisionSent = true;
        retryAt = Instant.MAX;
        return List.of(
                new WorkOperation.Decide(
                        request.id(),
                        Epoch.term(epoch),
                        view.self().id(),
                        copyTarget,
                        request.deadline()));
    }

    /** Handles the stored decision of {@code term}, empty if it could not be written or read. */
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
            return onDecisionWon(decision, now);
        }
        boolean isHolderOfWinner =
                formerOwner.equals(Optional.of(decision.winner()))
                        && decision.holder().equals(Optional.of(view.self().id()));
        if (isHolderOfWinner) {
            potentialOwners.clear();
            potentialOwners.add(decision.winner());
            return sendCopy(now);
        }
        return retire(Optional.of(decision.winner()));
    }

    private List<WorkOperation> onDecisionWon(OwnershipDecision decision, Instant now) {
        potentialOwners.clear();
        decision.holder().ifPresent(potentialOwners::add);
        if (!decision.holder().equals(copyTarget)) {
            // An earlier write of this node took effect, but its reply was lost.
            return sendCopy(now);
        }
        return onConfirmed(now);
    }

    private Set<NodeId> copyTargetSet() {
        return copyTarget.map(Set::of).orElse(Set.of());
    }

    private List<WorkOperation> onConfirmed(Instant now) {
        checkInvariant(
                potentialOwners.equals(copyTargetSet()),
                "another potential owner remains for request " + request.id());
        checkInvariant(
                copyTarget.isEmpty() || ackPosition >= releasedPosition,
                "the copy holder lacks released tokens of request " + request.id());
        phase = copyTarget.isPresent() ? Phase.STABLE : Phase.WITHOUT_COPY;
        confirmedOnce = true;
        triedHolders.clear();
        ackDeadline = now.plus(times.ackWithin());
        retryAt = now.plus(times.retryAfter());
        List<WorkOperation> operations = new ArrayList<>();
        if (!accepted) {
            accepted = true;
            operations.add(new WorkOperation.Accepted(request.id(), copyTarget, sameZone));
        }
        operations.addAll(releaseTokens());
        operations.addAll(attempt.startIfNeeded());
        operations.addAll(sendHandover());
        return operations;
    }

    private List<WorkOperation> releaseTokens() {
        int position =
                switch (phase) {
                    case STABLE -> Math.min(ackPosition, answer.position());
                    case WITHOUT_COPY -> answer.position();
                    default -> releasedPosition;
                };
        if (position <= releasedPosition) {
            return List.of();
        }
        releasedPosition = position;
        return List.of(new WorkOperation.Released(request.id()));
    }

    List<WorkOperation> onTokens(
            int attemptNumber, int tokens, String text, boolean last, Instant now) {
        if (ackPosition >= answer.position()) {
            ackDeadline = now.plus(times.ackWithin());
        }
        return attempt.add(attemptNumber, tokens, text, last) ? releaseTokens() : List.of();
    }

    OwnerAttempt attempt() {
        return attempt;
    }

    /** Returns the chunks that the copy holder has not acknowledged. */
    List<WorkChunk> progress(Instant now) {
        if (phase != Phase.STABLE || ackPosition >= answer.position()) {
            ackDeadline = now.plus(times.ackWithin());
            return List.of();
        }
        answer.mergeChunksAfter(Math.max(sentTokens, releasedPosition));
        sentTokens = answer.tokens();
        return answer.chunksFrom(request.id(), epoch, ackPosition);
    }

    /** Handles an acknowledgement; the position is empty if the peer has no copy. */
    List<WorkOperation> onAck(NodeId from, Optional<Integer> position, int peerEpoch, Instant now) {
        if (phase != Phase.STABLE || !copyTarget.equals(Optional.of(from)) || peerEpoch > epoch) {
            return List.of();
        }
        if (position.isEmpty()) {
            return replaceHolder(now, Set.of());
        }
        if (peerEpoch == epoch && position.get() > ackPosition) {
            ackPosition = Math.min(position.get(), answer.position());
            ackDeadline = now.plus(times.ackWithin());
        }
        return releaseTokens();
    }

    private List<WorkOperation> replaceHolder(Instant now, Set<NodeId> excluded) {
        triedHolders.clear();
        triedHolders.addAll(excluded);
        return sendCopy(now);
    }

    List<WorkOperation> onMember(NodeId peer, MemberState state, Instant now) {
        boolean unavailable = state == MemberState.DEAD || state == MemberState.LEAVING;
        if (phase == Phase.STABLE && unavailable && copyTarget.equals(Optional.of(peer))) {
            return replaceHolder(now, Set.of(peer));
        }
        return List.of();
    }

    List<WorkOperation> tick(Instant now) {
        if (!accepted && !now.isBefore(startDeadline)) {
            return refuse();
        }
        if (phase == Phase.STABLE
                && ackPosition < answer.position()
                && !now.isBefore(ackDeadline)) {
            return replaceHolder(now, Set.of(copyTarget.orElseThrow()));
        }
        if (now.isBefore(retryAt)) {
            return List.of();
        }
        retryAt = now.plus(times.retryAfter());
        return switch (phase) {
            case RETRY_DELAY ->
                    replaceHolder(now, accepted && !confirmedOnce ? formerOwnerSet() : Set.of());
            case DECIDING -> requestDecision();
            case WITHOUT_COPY -> hasCandidate() ? replaceHolder(now, Set.of()) : List.of();
            case STABLE -> tickStable(now);
            case COPYING, AWAITING_RELINQUISH -> List.of();
        };
    }

    private List<WorkOperation> tickStable(Instant now) {
        NodeId holder = copyTarget.orElseThrow();
        MemberState state = view.find(holder).map(m -> m.state()).orElse(MemberState.DEAD);
        if (state == MemberState.DEAD || (state == MemberState.LEAVING && hasCandidate())) {
            return replaceHolder(now, Set.of(holder));
        }
        if (sameZone && HolderSelector.outside(request.id(), view, Set.of()).isPresent()) {
            return replaceHolder(now, Set.of());
        }
        return sendHandover();
    }

    private Set<NodeId> formerOwnerSet() {
        return formerOwner.map(Set::of).orElse(Set.of());
    }

    private boolean hasCandidate() {
        return HolderSelector.choose(request.id(), view, Set.of()).isPresent();
    }

    private boolean isLive(NodeId peer) {
        return view.find(peer).map(m -> m.state() != MemberState.DEAD).orElse(false);
    }

    /** Returns whether the caller keeps a stream to this node open. */
    boolean hasLocalCaller() {
        return !request.submitted() && formerOwner.isEmpty();
    }

    /** Asks the copy holder to take over, now or as soon as there is one. */
    List<WorkOperation> requestHandover() {
        handoverRequested = true;
        return sendHandover();
    }

    private List<WorkOperation> sendHandover() {
        return handoverRequested && phase == Phase.STABLE
                ? List.of(new WorkOperation.SendHandover(request.id(), copyTarget.orElseThrow()))
                : List.of();
    }

    /** Returns whether this node relinquishes when {@code from} continues in {@code newEpoch}. */
    boolean relinquishesTo(NodeId from, int newEpoch) {
        return accepted
                && newEpoch > epoch
                && !decisionSent
                && potentialOwners.equals(Set.of(from));
    }

    /** Returns the operations that end the ownership of this node. */
    List<WorkOperation> retire(Optional<NodeId> successor) {
        List<WorkOperation> operations = new ArrayList<>();
        if (!accepted && successor.isPresent()) {
            // The successor runs the request, so the caller has to read the answer there.
            operations.add(new WorkOperation.Accepted(request.id(), successor, false));
        }
        operations.addAll(attempt.stop());
        operations.add(new WorkOperation.Retired(request.id(), successor));
        return operations;
    }

    /** Returns the tokens that can be read from {@code offset} on. */
    AnswerSlice read(int offset) {
        return answer.slice(Math.min(offset, releasedPosition), releasedPosition);
    }

    int releasedPosition() {
        return releasedPosition;
    }

    boolean accepted() {
        return accepted;
    }

    boolean isWithoutCopy() {
        return phase == Phase.WITHOUT_COPY;
    }

    boolean hasCopyInSameZone() {
        return phase == Phase.STABLE && sameZone;
    }

    Optional<NodeId> holder() {
        return phase == Phase.STABLE ? copyTarget : Optional.empty();
    }

    Set<NodeId> potentialOwners() {
        return Set.copyOf(potentialOwners);
    }

    WorkRequest request() {
        return request;
    }

    @Override
    public int epoch() {
        return epoch;
    }

    @Override
    public Instant expiresAt() {
        return request.deadline();
    }
}
