package org.carobdoor.internal.retries;

import org.carobdoor.RunState;

/** Whether a failed attempt is retried. */
public sealed interface RetryDecision {

    /**
     * The request is sent again.
     *
     * @param attempt the number of the next attempt, 2 or more
     */
    record Retry(int attempt) implements RetryDecision {}

    /**
     * The request fails, and the caller is told so.
     *
     * @param reason why the attempt is not retried
     * @param runState whether the request has run, as far as is known
     */
    record GiveUp(GiveUpReason reason, RunState runState) implements RetryDecision {}
}
