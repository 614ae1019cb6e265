package org.carobdoor.internal.duty;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against usage counted in the wrong window after a jump of a VM's clock. */
final class ClusterClockTest {
    private static final long MS = 1_000_000L;

    @Test
    void jumpOfTheOwnClockOfDayHasNoEffect() {
        ClusterClock clock = ClusterClock.start(0, 50_000);
        assertThat(clock.millis(1_000 * MS)).isEqualTo(51_000);
    }

    @Test
    void suspendedNodeFollowsTheOthers() {
        ClusterClock clock = ClusterClock.start(0, 50_000);
        clock.report("a", 56_000, 1_000 * MS);
        clock.report("b", 56_010, 1_000 * MS);
        assertThat(clock.millis(1_000 * MS)).isAtLeast(55_000);
    }

    @Test
    void oneWrongClockMovesNobody() {
        ClusterClock clock = ClusterClock.start(0, 50_000);
        clock.report("a", 51_000, 1_000 * MS);
        clock.report("b", 53_400, 1_000 * MS);
        assertThat(clock.millis(1_000 * MS)).isEqualTo(51_000);
    }
}
