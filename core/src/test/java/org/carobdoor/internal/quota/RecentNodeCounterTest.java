package org.carobdoor.internal.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a share of the quota that is granted twice while nodes are cut off. */
final class RecentNodeCounterTest {
    private static final long SECOND = 1_000_000_000L;

    private final RecentNodeCounter census = RecentNodeCounter.create();

    @Test
    void nodeThatIsCutOffCountsUntilLongAfterItsLeaseHasEnded() {
        // Seen on nads-motions scale-2 --seed 1068648554321: two of seven nodes cut off for 12 s.
        assertThat(census.count(List.of("a", "b", "c"), 0)).isEqualTo(3);
        assertThat(census.count(List.of("a"), 12 * SECOND)).isEqualTo(3);
    }

    @Test
    void nodeThatIsLostStopsCounting() {
        census.count(List.of("a", "b"), 0);
        assertThat(census.count(List.of("a"), 31 * SECOND)).isEqualTo(1);
    }
}
