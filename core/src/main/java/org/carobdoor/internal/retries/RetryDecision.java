package org.carobdoor.internal.retries;

import org.carobdoor.RunState;

/** Whether a failed attempt is followed by another. */
public sealed interface RetryDecision {

    /**
     * Try again.
     *
     * @param attempt the number of the next attempt, 2 or more
     */
    record Retry(int attempt) implements RetryDecision {}

    /**
     * Tell the caller.
     *
     * @param reason why there is no other attempt
     * @param runState what the caller is told about the execution
     */
    record GiveUp(GiveUpReason reason, RunState runState) implements RetryDecision {}
}
