package org.carobdoor.node.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.carobdoor.Bytes;
import org.carobdoor.internal.rollout.AnswerCounts;
import org.carobdoor.internal.rollout.RolloutOrder;
import org.carobdoor.internal.rollout.RolloutPhase;
import org.carobdoor.internal.rollout.RolloutState;
import org.carobdoor.internal.rollout.VersionRule;
import org.carobdoor.message.VersionEvidence;
import org.junit.jupiter.api.Test;

/** Guards what a node knows of a roll-out while holders change and orders are repeated. */
final class ServiceRolloutTest {
    private final ServiceRollout rollout = new ServiceRollout("desk");

    private static RolloutOrder order(String to, long revision) {
        return new RolloutOrder("desk", to, 12_000, revision, Optional.empty());
    }

    private static RolloutState state(String to, long order, RolloutPhase phase) {
        return new RolloutState(
                "desk",
                to,
                order,
                12_000,
                20_000,
                phase,
                9_000,
                phase == RolloutPhase.ROLLED_BACK ? 0 : 0.06,
                List.of("v1", "a b,c"),
                List.of(),
                new AnswerCounts(1, 2, 3, 4),
                "failures on all routes");
    }

    private VersionRule rule() {
        return Objects.requireNonNull(rollout.rule());
    }

    @Test
    void recordSurvivesTheStore() {
        RolloutState s = state("v 2=", 5, RolloutPhase.WIDENING);
        assertThat(RolloutRecord.decode("carobdoor/rollout/desk", RolloutRecord.encode(s)))
                .hasValue(s);
        assertThat(RolloutRecord.decode("carobdoor/rollout/desk", Bytes.utf8("to=x phase=NO")))
                .isEmpty();
    }

    @Test
    void newHolderWritesTheStatusOfAVerdictWhoseHolderWasKilled() {
        rollout.applyOrder(order("v2", 5), 1_000);
        assertThat(rollout.newOrder()).isPresent();
        rollout.applyState(state("v2", 5, RolloutPhase.TRYING), 6);
        rollout.statusWritten(state("v2", 5, RolloutPhase.TRYING), 1);
        rollout.applyState(state("v2", 5, RolloutPhase.ROLLED_BACK), 9);
        assertThat(rollout.newOrder()).isEmpty();
        assertThat(rollout.isStatusDue(2)).isTrue();
        rollout.statusWritten(state("v2", 5, RolloutPhase.ROLLED_BACK), 2);
        assertThat(rollout.isStatusDue(2)).isFalse();
        assertThat(rollout.isStatusDue(3)).isTrue();
    }

    @Test
    void stateNeverGoesBack() {
        rollout.applyState(state("v2", 5, RolloutPhase.ROLLED_BACK), 9);
        assertThat(rollout.applyState(state("v2", 5, RolloutPhase.TRYING), 12)).isFalse();
        assertThat(rollout.applyState(state("v9", 3, RolloutPhase.TRYING), 13)).isFalse();
        assertThat(rule().share()).isEqualTo(0);
    }

    @Test
    void repeatedOrderGoesOnAndAnotherReplacesIt() {
        rollout.applyOrder(order("v2", 5), 1_000);
        rollout.applyState(state("v2", 5, RolloutPhase.TRYING), 6);
        assertThat(rollout.applyOrder(order("v2", 8), 2_000)).isFalse();
        assertThat(rollout.newOrder()).isEmpty();
        assertThat(rollout.applyOrder(order("v3", 9), 3_000)).isTrue();
        assertThat(rollout.newOrder()).isPresent();
        assertThat(rule().share()).isEqualTo(0);
        assertThat(rule().barred()).containsExactly("v2");
    }

    @Test
    void ownVerdictStopsTheVersionWhileTheStoreIsAway() {
        rollout.applyOrder(order("v2", 5), 1_000);
        rollout.applyState(state("v2", 5, RolloutPhase.TRYING), 6);
        assertThat(rule().share()).isGreaterThan(0.0);
        Objects.requireNonNull(rollout.evidence())
                .report("n2@1", List.of(new VersionEvidence("desk", "v2", "r", 20, 10, List.of())));
        assertThat(rollout.judge()).isTrue();
        assertThat(rule().share()).isEqualTo(0);
        assertThat(rule().required()).isTrue();
    }
}
