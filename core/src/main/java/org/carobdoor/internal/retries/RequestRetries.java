package org.carobdoor.internal.retries;

import static org.carobdoor.internal.Preconditions.checkInvariant;

import java.time.Instant;
import org.carobdoor.RunState;

/**
 * Decides whether failed attempts of one request are retried. Not safe for use by several threads.
 *
 * <pre>{@code
 * var retries = RequestRetries.create(budget, entry.repeatable(), deadline);
 * switch (retries.onFailure(failure, clock.instant())) {
 *     case RetryDecision.Retry retry -> send();
 *     case RetryDecision.GiveUp(var reason, var runState) -> reportToCaller(runState);
 * }
 * }</pre>
 */
public final class RequestRetries {
    /** Maximum number of attempts of a request without progress or a pause in between. */
    public static final int MAX_ATTEMPTS = 3;

    private final RetryBudget budget;
    private final boolean repeatable;
    private final Instant deadline;
    private int attempts = 1;
    private boolean maybeSent;

    private RequestRetries(RetryBudget budget, boolean repeatable, Instant deadline) {
        this.budget = budget;
        this.repeatable = repeatable;
        this.deadline = deadline;
    }

    /** Returns the retry state of a request whose first attempt starts now. */
    public static RequestRetries create(RetryBudget budget, boolean repeatable, Instant deadline) {
        budget.onRequest();
        return new RequestRetries(budget, repeatable, deadline);
    }

    /** Returns whether to retry after the current attempt has failed. */
    public RetryDecision onFailure(AttemptFailure failure, Instant now) {
        checkInvariant(attempts <= MAX_ATTEMPTS, "attempt count exceeds the maximum");
        boolean notSent = failure instanceof AttemptFailure.NotSent;
        maybeSent |= !notSent;
        if (failure instanceof AttemptFailure.Rejected) {
            return new RetryDecision.GiveUp(GiveUpReason.REJECTED, RunState.RAN);
        }
        if (!repeatable && !notSent) {
            return giveUp(GiveUpReason.NOT_REPEATABLE);
        }
        if (!now.isBefore(deadline)) {
            return giveUp(GiveUpReason.DEADLINE);
        }
        if (attempts == MAX_ATTEMPTS) {
            return giveUp(GiveUpReason.ATTEMPTS);
        }
        if (!budget.tryTake(now)) {
            return giveUp(GiveUpReason.BUDGET);
        }
        attempts++;
        return new RetryDecision.Retry(attempts);
    }

    private RetryDecision giveUp(GiveUpReason reason) {
        return new RetryDecision.GiveUp(reason, maybeSent ? RunState.UNKNOWN : RunState.NOT_RUN);
    }

    /** Records that the next attempt follows a pause, which resets the attempt count. */
    public void onPause() {
        attempts = 1;
    }

    /**
     * Records that the current attempt has produced tokens. A stream that is interrupted afterwards
     * is continued instead of repeated, so the attempt count is reset; the number of attempts stays
     * bounded by the length of the answer. Without the reset, a long answer would run out of
     * attempts when its endpoints are reclaimed several times.
     */
    public void onProgress() {
        attempts = 1;
        maybeSent = true;
    }
}
