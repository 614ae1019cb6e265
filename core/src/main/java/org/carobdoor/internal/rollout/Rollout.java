package org.carobdoor.internal.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The steps of a roll-out, as its duty holder decides them.
 *
 * <p>A bad version may get only a small share of the requests up to the deadline, and it may turn
 * bad at any time. So the share stays within that limit for most of the time, on so few endpoints
 * that each has the load of an old one, and only a version that is good by then gets more. The new
 * version is judged until the roll-out is completed; without enough evidence it is rolled back,
 * since the old endpoints stop for good at the completion.
 *
 * <p>The state only moves forward. A step takes effect when its state has been stored.
 */
public final class Rollout {
    /** The fraction of the time to the deadline that is kept for moving all requests. */
    private static final double FINISH_FRACTION = 0.4;

    private static final long MAX_FINISH_MILLIS = 12_000;

    /** The fraction of the time for moving all requests in which only a part of them moves. */
    private static final double WIDENING_FRACTION = 0.25;

    private static final double WIDENING_SHARE = 0.3;

    /** The fraction of the exposure limit that is used; the rest is for the roll-back. */
    private static final double USED_EXPOSURE = 0.6;

    /** The largest share that the fixed part of the limit allows a service with few requests. */
    private static final double MAX_TRIAL_SHARE = 0.25;

    /** Smaller changes of the share are not worth a write. */
    private static final double MIN_SHARE_CHANGE = 1.5;

    /** Without this many answers, the number of requests up to the deadline is not estimated. */
    private static final long MIN_RATE_MILLIS = 1_000;

    /** All nodes follow a stored step, and have reported so, within this time. */
    private static final long FOLLOW_MILLIS = 2_500;

    /** The time for storing the completion and writing the status. */
    private static final long COMPLETION_MILLIS = 1_000;

    /** The fewest new endpoints for each old one. */
    private static final double MIN_ENDPOINTS = 0.5;

    private final RolloutBounds bounds;

    private Rollout(RolloutBounds bounds) {
        this.bounds = bounds;
    }

    /** Returns the steps under {@code bounds}. */
    public static Rollout create(RolloutBounds bounds) {
        return new Rollout(bounds);
    }

    /**
     * Returns the first state of an order.
     *
     * @param previous the state of the service's previous roll-out, if there is one
     * @param seenMillis when a node first saw the order, in cluster time
     */
    public RolloutState begin(
            RolloutOrder order,
            @Nullable RolloutState previous,
            List<String> acceptingVersions,
            long seenMillis,
            long nowMillis) {
        List<String> barred = barred(previous);
        barred.remove(order.to());
        List<String> old = new ArrayList<>(acceptingVersions);
        old.remove(order.to());
        old.removeAll(barred);
        RolloutPhase phase = RolloutPhase.TRYING;
        double share = bounds.exposureShare() * USED_EXPOSURE;
        if (order.problem().isPresent()) {
            phase = RolloutPhase.ROLLED_BACK;
            share = 0;
        } else if (old.isEmpty() && acceptingVersions.contains(order.to())) {
            // There is nothing to move.
            phase = RolloutPhase.COMPLETED;
            share = 1;
        }
        return new RolloutState(
                order.service(),
                order.to(),
                order.revision(),
                order.durationMillis(),
                seenMillis + order.durationMillis(),
                phase,
                nowMillis,
                share,
                old,
                barred,
                AnswerCounts.NONE,
                order.problem().orElse(share < 1 ? "ordered" : "in use"));
    }

    /** Returns the versions that get no requests after {@code state}, in a new list. */
    static List<String> barred(@Nullable RolloutState state) {
        if (state == null) {
            return new ArrayList<>();
        }
        List<String> barred = new ArrayList<>(state.barred());
        boolean used = state.phase() == RolloutPhase.COMPLETED || state.to().isEmpty();
        if (!used && !barred.contains(state.to())) {
            barred.add(state.to());
        }
        return barred;
    }

    /** Returns the state to store next; empty if nothing is to be changed. */
    public Optional<RolloutState> next(RolloutState s, RolloutView v, long nowMillis) {
        if (s.phase().isFinal()) {
            return Optional.empty();
        }
        if (v.bad().isPresent()) {
            return rollBack(s, v, v.bad().get(), nowMillis);
        }
        return switch (s.phase()) {
            case TRYING -> afterTrial(s, v, nowMillis);
            case WIDENING ->
                    nowMillis - s.phaseSinceMillis() >= finishMillis(s) * WIDENING_FRACTION
                            ? step(s, RolloutPhase.FINISHING, 1, v, "no bad answers", nowMillis)
                            : Optional.empty();
            case FINISHING -> afterMove(s, v, nowMillis);
            case COMPLETED, ROLLED_BACK -> Optional.empty();
        };
    }

    private Optional<RolloutState> afterTrial(RolloutState s, RolloutView v, long nowMillis) {
        long finishMillis = finishMillis(s);
        boolean enough =
                v.newEndpoints() > 0 && v.newEndpoints() >= MIN_ENDPOINTS * v.oldEndpoints();
        if (nowMillis < s.deadlineMillis() - finishMillis) {
            return adjustShare(s, v, nowMillis);
        }
        // A holder that was away too long has no time to move the requests before the deadline.
        if (nowMillis >= s.deadlineMillis() - finishMillis / 2) {
            String why =
                    enough ? v.good() ? "too late" : "too little evidence" : "too few endpoints";
            return rollBack(s, v, why, nowMillis);
        }
        if (!enough || !v.good()) {
            return Optional.empty();
        }
        return step(s, RolloutPhase.WIDENING, WIDENING_SHARE, v, "good", nowMillis);
    }

    /** Uses the fixed part of the exposure limit if the service has few requests. */
    private Optional<RolloutState> adjustShare(RolloutState s, RolloutView v, long nowMillis) {
        long elapsed = nowMillis - s.phaseSinceMillis();
        long answers = v.answers().newAnswers() + v.answers().oldAnswers();
        if (elapsed < MIN_RATE_MILLIS || answers == 0) {
            return Optional.empty();
        }
        double trialMillis = s.durationMillis() - finishMillis(s);
        double expected = answers * trialMillis / elapsed;
        double share =
                USED_EXPOSURE * (bounds.exposureShare() + bounds.exposureSlack() / 2.0 / expected);
        double limited = Math.min(MAX_TRIAL_SHARE, share);
        return limited > s.share() * MIN_SHARE_CHANGE
                ? step(s, RolloutPhase.TRYING, limited, v, "few requests", nowMillis)
                : Optional.empty();
    }

    private Optional<RolloutState> afterMove(RolloutState s, RolloutView v, long nowMillis) {
        long since = nowMillis - s.phaseSinceMillis();
        boolean ended = v.oldRunning() == 0 && since >= FOLLOW_MILLIS;
        boolean due =
                nowMillis >= s.deadlineMillis() - COMPLETION_MILLIS && since >= COMPLETION_MILLIS;
        return ended || due
                ? step(s, RolloutPhase.COMPLETED, 1, v, ended ? "moved" : "deadline", nowMillis)
                : Optional.empty();
    }

    private static Optional<RolloutState> rollBack(
            RolloutState s, RolloutView v, String why, long nowMillis) {
        return step(s, RolloutPhase.ROLLED_BACK, 0, v, why, nowMillis);
    }

    private static Optional<RolloutState> step(
            RolloutState s,
            RolloutPhase next,
            double share,
            RolloutView v,
            String why,
            long nowMillis) {
        return Optional.of(s.enter(next, share, v.answers(), why, nowMillis));
    }

    private static long finishMillis(RolloutState s) {
        return Math.min(MAX_FINISH_MILLIS, Math.round(FINISH_FRACTION * s.durationMillis()));
    }
}
