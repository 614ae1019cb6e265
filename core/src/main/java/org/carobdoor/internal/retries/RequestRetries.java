package org.carobdoor.internal.retries;

import static org.carobdoor.internal.Preconditions.checkInvariant;

import java.time.Instant;
import org.carobdoor.RunState;

/**
 * Decides on the attempts of one request. Not safe for use by several threads.
 *
 * <pre>{@code
 * var retries = RequestRetries.create(budget, entry.repeatable(), deadline);
 * switch (retries.onFailure(failure, clock.instant())) {
 *     case RetryDecision.Retry retry -> send();
 *     case RetryDecision.GiveUp(var reason, var runState) -> tellCaller(runState);
 * }
 * }</pre>
 */
public final class RequestRetries {
    /** Highest number of attempts of a request without progress in between. */
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

    /** Returns the decisions of a request whose first attempt starts now. */
    public static RequestRetries create(RetryBudget budget, boolean repeatable, Instant deadline) {
        budget.onRequest();
        return new RequestRetries(budget, repeatable, deadline);
    }

    /** Returns the decision after the current attempt has failed. */
    public RetryDecision onFailure(AttemptFailure failure, Instant now) {
        checkInvariant(attempts <= MAX_ATTEMPTS, "more attempts than allowed");
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

    /** Records that the next attempt follows a pause, so that the count starts again. */
    public void onPause() {
        attempts = 1;
    }

    /**
     * Records that the current attempt has made tokens. A stream that is interrupted after that is
     * continued, not repeated, so the count starts again; it stays bounded by the length of the
     * answer. Otherwise a long draft would not survive several waves of reclaims.
     */
    public void onProgress() {
        attempts = 1;
        maybeSent = true;
    }
}
