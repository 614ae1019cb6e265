package org.carobdoor.internal.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Guards the order and the times of the steps of a roll-out. */
final class RolloutTest {
    private static final long START = 1_000_000;
    private static final long DURATION = 12_000;
    private static final AnswerCounts SOME = new AnswerCounts(60, 0, 900, 0);

    private final Rollout rollout = Rollout.create(new RolloutBounds(0.1, 50));

    private static RolloutOrder order(String to, long revision) {
        return new RolloutOrder("desk", to, DURATION, revision, Optional.empty());
    }

    private RolloutState begin(RolloutOrder order, @Nullable RolloutState previous) {
        return rollout.begin(order, previous, List.of("v1", order.to()), START, START);
    }

    private static RolloutView view(boolean good, int newEndpoints, int oldRunning) {
        return new RolloutView(Optional.empty(), good, SOME, newEndpoints, 4, oldRunning);
    }

    private static RolloutView bad() {
        return new RolloutView(Optional.of("failures"), false, SOME, 4, 4, 5);
    }

    /** Plays the steps until {@code untilMillis} after the order. */
    private RolloutState play(RolloutState from, RolloutView view, long untilMillis) {
        RolloutState s = from;
        for (long t = 0; t <= untilMillis; t += 200) {
            s = rollout.next(s, view, START + t).orElse(s);
        }
        return s;
    }

    @Test
    void goodVersionIsCompletedBeforeTheDeadline() {
        RolloutState s = begin(order("v2", 5), null);
        assertThat(s.oldVersions()).containsExactly("v1");
        RolloutView good = view(true, 4, 3);
        assertThat(play(s, good, 7_000).phase()).isEqualTo(RolloutPhase.TRYING);
        assertThat(play(s, good, 8_000).phase()).isEqualTo(RolloutPhase.WIDENING);
        assertThat(play(s, good, 9_000).phase()).isEqualTo(RolloutPhase.FINISHING);
        assertThat(play(s, good, 10_600).phase()).isEqualTo(RolloutPhase.FINISHING);
        assertThat(play(s, good, 11_000).phase()).isEqualTo(RolloutPhase.COMPLETED);
        // Earlier once nothing runs at the old endpoints.
        RolloutOrder longer = new RolloutOrder("desk", "v2", 30_000, 5, Optional.empty());
        RolloutState t = begin(longer, null);
        assertThat(play(t, good, 24_000).phase()).isEqualTo(RolloutPhase.FINISHING);
        assertThat(play(t, view(true, 4, 0), 24_000).phase()).isEqualTo(RolloutPhase.COMPLETED);
    }

    @Test
    void shareStaysWithinTheLimitWhileTrying() {
        RolloutState s = play(begin(order("v2", 5), null), view(true, 4, 3), 7_000);
        // 960 answers in the first second and the fixed part of the limit.
        assertThat(s.share()).isAtMost(0.1);
        RolloutState few = begin(order("v2", 5), null);
        AnswerCounts counts = new AnswerCounts(1, 0, 15, 0);
        RolloutView fewAnswers = new RolloutView(Optional.empty(), false, counts, 4, 4, 0);
        assertThat(play(few, fewAnswers, 1_200).share()).isGreaterThan(0.1);
        assertThat(play(few, fewAnswers, 1_200).share()).isAtMost(0.25);
    }

    @Test
    void badVersionIsRolledBackInEachPhase() {
        for (long t : new long[] {1_000, 8_000, 9_000}) {
            RolloutState s = play(begin(order("v2", 5), null), view(true, 4, 3), t);
            RolloutState after = rollout.next(s, bad(), START + t).orElseThrow();
            assertThat(after.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
            assertThat(after.share()).isEqualTo(0);
            assertThat(rollout.next(after, view(true, 4, 0), START + t)).isEmpty();
        }
    }

    @Test
    void versionWithoutEvidenceOrEndpointsIsRolledBackBeforeTheDeadline() {
        RolloutState s = begin(order("v2", 5), null);
        RolloutState doubtful = play(s, view(false, 4, 3), 10_000);
        assertThat(doubtful.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
        assertThat(doubtful.reason()).isEqualTo("too little evidence");
        RolloutState unknown = play(s, view(true, 0, 3), 10_000);
        assertThat(unknown.reason()).isEqualTo("too few endpoints");
        // A holder that returns after the deadline.
        assertThat(rollout.next(s, view(true, 4, 0), START + 20_000).orElseThrow().phase())
                .isEqualTo(RolloutPhase.ROLLED_BACK);
    }

    @Test
    void replacedVersionIsBarred() {
        RolloutState v3 = begin(order("v3", 9), begin(order("v2", 5), null));
        assertThat(v3.barred()).containsExactly("v2");
        assertThat(begin(order("v2", 12), v3).barred()).containsExactly("v3");
    }

    @Test
    void repeatedOrderIsTheSameAndInvalidOnesAreRolledBack() {
        RolloutState s = begin(order("v2", 5), null);
        assertThat(order("v2", 8).isOrderOf(s)).isTrue();
        assertThat(order("v3", 8).isOrderOf(s)).isFalse();
        RolloutOrder invalid = new RolloutOrder("desk", "", 0, 8, Optional.of("malformed"));
        assertThat(begin(invalid, null).phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
    }

    @Test
    void versionInUseNeedsNoRollout() {
        RolloutState s = rollout.begin(order("v1", 5), null, List.of("v1"), START, START);
        assertThat(s.phase()).isEqualTo(RolloutPhase.COMPLETED);
    }
}
