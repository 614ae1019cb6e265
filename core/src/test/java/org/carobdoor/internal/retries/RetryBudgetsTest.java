package org.carobdoor.internal.retries;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a share that is refilled for a time in which it was not known. */
final class RetryBudgetsTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void nodeThatWaitedForTheStoreStartsWithAnEmptyShare() {
        RetryAllowance allowance = new RetryAllowance(0.2, 54, 10 * SECOND);
        RetryBudgets budgets = RetryBudgets.create(allowance, new Random(1), 0);
        budgets.setNodes(1, 10 * SECOND);
        assertThat(budgets.tryTake("desk", 10 * SECOND)).isFalse();
    }

    @Test
    void shareIsRefilledOnceTheNodesAreKnown() {
        RetryAllowance allowance = new RetryAllowance(0.2, 54, 10 * SECOND);
        RetryBudgets budgets = RetryBudgets.create(allowance, new Random(1), 0);
        assertThat(budgets.tryTake("desk", 9 * SECOND)).isFalse();
        budgets.setNodes(7, 10 * SECOND);
        assertThat(budgets.tryTake("desk", 10 * SECOND)).isFalse();
        assertThat(budgets.tryTake("desk", 20 * SECOND)).isTrue();
    }
}
