package org.carobdoor.internal.retries;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import org.carobdoor.RunState;
import org.junit.jupiter.api.Test;

/**
 * Guards against harmful retries: running an unsafe request twice, retry storms, and retries after
 * the deadline of the caller.
 */
final class RequestRetriesTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Instant DEADLINE = NOW.plusSeconds(10);
    private static final AttemptFailure SENT = new AttemptFailure.MaybeSent("reset");
    private static final AttemptFailure NOT_SENT = new AttemptFailure.NotSent("refused");

    private final RetryBudget budget = RetryBudget.create(NOW);

    private RequestRetries retries(boolean repeatable) {
        for (int i = 0; i < 100; i++) {
            budget.onRequest();
        }
        return RequestRetries.create(budget, repeatable, DEADLINE);
    }

    private static RetryDecision giveUp(GiveUpReason reason, RunState state) {
        return new RetryDecision.GiveUp(reason, state);
    }

    @Test
    void thirdAttemptIsTheLast() {
        var retries = retries(true);
        assertThat(retries.onFailure(SENT, NOW)).isEqualTo(new RetryDecision.Retry(2));
        assertThat(retries.onFailure(SENT, NOW)).isEqualTo(new RetryDecision.Retry(3));
        assertThat(retries.onFailure(NOT_SENT, NOW))
                .isEqualTo(giveUp(GiveUpReason.ATTEMPTS, RunState.UNKNOWN));
    }

    @Test
    void callThatMayHaveRunIsNotRepeated() {
        var retries = retries(false);
        assertThat(retries.onFailure(NOT_SENT, NOW)).isEqualTo(new RetryDecision.Retry(2));
        assertThat(retries.onFailure(SENT, NOW))
                .isEqualTo(giveUp(GiveUpReason.NOT_REPEATABLE, RunState.UNKNOWN));
    }

    @Test
    void noRetryAfterTheDeadline() {
        assertThat(retries(true).onFailure(NOT_SENT, DEADLINE))
                .isEqualTo(giveUp(GiveUpReason.DEADLINE, RunState.NOT_RUN));
    }

    @Test
    void budgetIsTenthOfRequests() {
        int retried = 0;
        for (int i = 0; i < 1_000; i++) {
            var decision = RequestRetries.create(budget, true, DEADLINE).onFailure(SENT, NOW);
            retried += decision instanceof RetryDecision.Retry ? 1 : 0;
        }
        assertThat(retried).isAtLeast(100);
        assertThat(retried).isAtMost(101);
    }

    @Test
    void minimumRateAllowsRetriesWithoutTraffic() {
        assertThat(budget.tryTake(NOW)).isTrue();
        assertThat(budget.tryTake(NOW)).isFalse();
        assertThat(budget.tryTake(NOW.plusSeconds(2))).isTrue();
    }

    @Test
    void progressResetsTheAttemptCount() {
        var retries = retries(true);
        retries.onFailure(SENT, NOW);
        retries.onFailure(SENT, NOW);
        retries.onProgress();
        assertThat(retries.onFailure(SENT, NOW)).isEqualTo(new RetryDecision.Retry(2));
    }
}
