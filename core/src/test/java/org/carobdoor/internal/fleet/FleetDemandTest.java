package org.carobdoor.internal.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.carobdoor.internal.fleet.FleetDemand.Engines;
import org.junit.jupiter.api.Test;

/** Guards against releasing the fleet because a node has just started. */
final class FleetDemandTest {
    private static final long SECOND = 1_000_000_000L;

    private final FleetDemand demand = FleetDemand.create();

    private void measure(double millisPerSecond, int times) {
        for (int i = 0; i < times; i++) {
            demand.measured(millisPerSecond);
        }
    }

    @Test
    void restartedNodeReleasesNothingBeforeItHasMeasured() {
        // Seen on nads-motions trouble-3: after a restart of all nodes, one engine per zone was
        // ordered.
        assertThat(demand.estimate(0, 15, 0).isEmpty()).isTrue();
        assertThat(demand.estimate(0, 15, 5 * SECOND).isEmpty()).isTrue();
        measure(4_000, 8);
        assertThat(demand.estimate(0, 15, 6 * SECOND).orElseThrow().peak()).isEqualTo(8);
    }

    @Test
    void firstFleetIsAsLargeAsTheOperatorsOwn() {
        assertThat(demand.estimate(3, 0, 0).isEmpty()).isTrue();
        assertThat(demand.estimate(13, 0, 4 * SECOND).orElseThrow()).isEqualTo(new Engines(13, 13));
        assertThat(demand.estimate(2, 12, 9 * SECOND).orElseThrow()).isEqualTo(new Engines(13, 13));
    }

    @Test
    void idleTimeBeforeTheFirstRequestsDoesNotHideTheLoad() {
        measure(0, 30);
        measure(4_000, 8);
        assertThat(demand.workMillisPerSecond()).isWithin(1).of(4_000);
    }

    @Test
    void lowLoadKeepsMostOfTheLastPeak() {
        measure(8_000, 40);
        demand.estimate(0, 15, 0);
        measure(500, 60);
        Engines e = demand.estimate(0, 15, 0).orElseThrow();
        assertThat(e.peak()).isAtLeast(15);
        assertThat(e.now()).isAtLeast(12);
    }
}
