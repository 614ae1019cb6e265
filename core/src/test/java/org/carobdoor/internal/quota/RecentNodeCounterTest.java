package org.carobdoor.internal.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a share of the quota being granted twice during a network partition. */
final class RecentNodeCounterTest {
    private static final long SECOND = 1_000_000_000L;

    private final RecentNodeCounter counter = RecentNodeCounter.create();

    @Test
    void partitionedNodeCountsAfterItsLeaseHasEnded() {
        // Seen on nads-motions scale-2 --seed 1068648554321: two of seven nodes were partitioned
        // for 12 s.
        assertThat(counter.count(List.of("a", "b", "c"), 0)).isEqualTo(3);
        assertThat(counter.count(List.of("a"), 12 * SECOND)).isEqualTo(3);
    }

    @Test
    void lostNodeStopsCounting() {
        counter.count(List.of("a", "b"), 0);
        assertThat(counter.count(List.of("a"), 31 * SECOND)).isEqualTo(1);
    }
}
