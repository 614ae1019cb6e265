package org.carobdoor.internal.duty;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against usage that is counted in the wrong window after a VM's clock jumps. */
final class ClusterClockTest {
    private static final long MS = 1_000_000L;

    @Test
    void wallClockJumpHasNoEffect() {
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
    void backlogOfOldStatusesDoesNotMoveTheClock() {
        // In scenario sharkawy-bales trouble-2 --seed 13, the first statuses in the backlog after a
        // 7 s suspension set the clock back, and hundreds of requests were counted in the
        // previous window.
        ClusterClock clock = ClusterClock.start(0, 50_000);
        long now = 8_000 * MS;
        for (long sent = 51_000; sent < 58_000; sent += 200) {
            clock.report("a", sent, now);
            clock.report("b", sent, now);
            clock.report("c", sent, now);
            assertThat(clock.millis(now)).isEqualTo(58_000);
            now += 10_000;
        }
    }

    @Test
    void clockThatIsAheadOfTheOthersGoesBackAfterASecond() {
        ClusterClock clock = ClusterClock.start(0, 53_000);
        for (long ms = 200; ms <= 2_000; ms += 200) {
            clock.report("a", 50_000 + ms, ms * MS);
            clock.report("b", 50_000 + ms, ms * MS);
        }
        assertThat(clock.millis(2_000 * MS)).isEqualTo(52_000);
    }

    @Test
    void singleWrongClockIsIgnored() {
        ClusterClock clock = ClusterClock.start(0, 50_000);
        clock.report("a", 51_000, 1_000 * MS);
        clock.report("b", 53_400, 1_000 * MS);
        assertThat(clock.millis(1_000 * MS)).isEqualTo(51_000);
    }
}
