package org.carobdoor.node.gateway.control;

import java.util.Optional;
import org.carobdoor.internal.rollout.RolloutJudge;
import org.carobdoor.internal.rollout.RolloutOrder;
import org.carobdoor.internal.rollout.RolloutPhase;
import org.carobdoor.internal.rollout.RolloutState;
import org.carobdoor.internal.rollout.VersionRule;
import org.jspecify.annotations.Nullable;

/** What a node knows of the roll-out of one service. */
final class ServiceRollout {
    private final String service;
    private @Nullable RolloutOrder order;
    private @Nullable RolloutState state;
    private @Nullable RolloutState unconfirmed;
    private boolean storeBehind;
    private @Nullable RolloutJudge judge;
    private Optional<String> bad = Optional.empty();
    private long orderSeenMillis;
    private long stateRevision;
    private long statusFence;
    private @Nullable RolloutPhase statusPhase;
    private boolean callPending;

    ServiceRollout(String service) {
        this.service = service;
    }

    String service() {
        return service;
    }

    /** Applies an order, unless a newer one is known; returns whether it is a new one. */
    boolean applyOrder(RolloutOrder newOrder, long nowMillis) {
        RolloutOrder before = order;
        if (before != null && newOrder.revision() <= before.revision()) {
            return false;
        }
        boolean same =
                before != null
                        && before.to().equals(newOrder.to())
                        && before.durationMillis() == newOrder.durationMillis();
        order = newOrder;
        if (!same) {
            orderSeenMillis = nowMillis;
            if (state == null || !newOrder.isOrderOf(state)) {
                judgeAnew(newOrder.to());
            }
        }
        return !same;
    }

    /** Applies a stored state, unless a newer one is known; returns whether it was applied. */
    boolean applyState(RolloutState newState, long revision) {
        if (revision <= stateRevision) {
            return false;
        }
        if (isBehind(newState)) {
            // The store has come back from an older copy.
            writeAgain(revision);
            return false;
        }
        RolloutState before = state;
        stateRevision = revision;
        unconfirmed = null;
        storeBehind = false;
        state = newState;
        boolean orderUnseen =
                order == null
                        && before != null
                        && before.orderRevision() != newState.orderRevision();
        RolloutJudge j = judge;
        if (j == null || orderUnseen || !j.newVersion().equals(newState.to())) {
            judgeAnew(newState.to());
        }
        if (judge != null) {
            judge.setOldVersions(newState.oldVersions());
        }
        return true;
    }

    /** Returns whether {@code other} is an earlier state than the known one. */
    private boolean isBehind(RolloutState other) {
        RolloutState s = state;
        return s != null
                && (other.orderRevision() < s.orderRevision()
                        || (other.orderRevision() == s.orderRevision()
                                && other.phase().compareTo(s.phase()) < 0));
    }

    private void judgeAnew(String to) {
        RolloutJudge before = judge;
        judge =
                before != null && before.newVersion().equals(to)
                        ? before.restarted()
                        : RolloutJudge.create(service, to);
        bad = Optional.empty();
    }

    /** Processes that the state does not exist in the store at {@code revision}. */
    void stateMissing(long revision) {
        if (revision > stateRevision) {
            writeAgain(0);
        }
    }

    /** Lets the holder of the duties replace what is stored at {@code revision}. */
    private void writeAgain(long revision) {
        stateRevision = revision;
        storeBehind = true;
    }

    /** Returns the known state if the store has an earlier one or none. */
    Optional<RolloutState> stateToRestore() {
        return storeBehind ? Optional.ofNullable(state) : Optional.empty();
    }

    /** Judges the evidence; returns whether the new version has just been found bad. */
    boolean judge() {
        RolloutJudge j = judge;
        if (j == null || !isRunning() || bad.isPresent()) {
            return false;
        }
        bad = j.judge();
        return bad.isPresent();
    }

    /** Returns whether answers are to be counted. */
    boolean isRunning() {
        RolloutState s = state;
        RolloutOrder o = order;
        boolean ordered = o != null && (s == null || !o.isOrderOf(s));
        return ordered || (s != null && !s.phase().isFinal());
    }

    /** Returns the order that has no state yet, if there is one. */
    Optional<RolloutOrder> newOrder() {
        RolloutOrder o = order;
        RolloutState s = state;
        return o == null || (s != null && o.isOrderOf(s)) ? Optional.empty() : Optional.of(o);
    }

    @Nullable VersionRule rule() {
        return VersionRule.of(order, state, bad.isPresent());
    }

    @Nullable RolloutState state() {
        return state;
    }

    @Nullable RolloutJudge evidence() {
        return judge;
    }

    Optional<String> bad() {
        return bad;
    }

    long orderSeenMillis() {
        return orderSeenMillis;
    }

    long stateRevision() {
        return stateRevision;
    }

    /** Returns the state whose write may or may not have taken effect. */
    @Nullable RolloutState unconfirmed() {
        return unconfirmed;
    }

    void setUnconfirmed(@Nullable RolloutState newState) {
        unconfirmed = newState;
    }

    boolean isCallPending() {
        return callPending;
    }

    void setCallPending(boolean pending) {
        callPending = pending;
    }

    /** Returns whether the holder with token {@code fence} has yet to write the status. */
    boolean isStatusDue(long fence) {
        RolloutState s = state;
        return s != null && (statusPhase != statusOf(s) || statusFence != fence);
    }

    void statusWritten(RolloutState of, long fence) {
        statusPhase = statusOf(of);
        statusFence = fence;
    }

    /** All phases that are not final have the same status. */
    private static RolloutPhase statusOf(RolloutState s) {
        return s.phase().isFinal() ? s.phase() : RolloutPhase.TRYING;
    }
}
