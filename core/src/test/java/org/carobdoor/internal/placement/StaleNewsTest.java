package org.carobdoor.internal.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Plays loads on which many nodes with old news of each other decide, and compares what callers get
 * with the policy for small clusters. Prints one table row per load.
 */
final class StaleNewsTest {
    private static final double WORK_MILLIS = 50;
    private static final double AIM_MILLIS = 200;

    private record Load(
            String name,
            int nodes,
            int endpoints,
            int slots,
            double utilization,
            double fromSeconds,
            double untilSeconds,
            StaleNewsPlay.Slowness slowness) {

        StaleNewsPlay.Result play(boolean learned) {
            StaleNewsPlay.Result r =
                    new StaleNewsPlay(learned, nodes, endpoints, slots, slowness, 1)
                            .run(
                                    utilization * endpoints * slots * 1000 / WORK_MILLIS,
                                    fromSeconds,
                                    untilSeconds,
                                    AIM_MILLIS);
            System.out.printf(
                    "| %s | %s | in aim %.3f | turned away %.3f | worst overshoot %.1f |%n",
                    name,
                    learned ? "learned" : "small cluster",
                    r.inAim(),
                    r.turnedAway(),
                    r.worstOvershoot());
            return r;
        }
    }

    @Test
    void nodesWithTheSameOldNewsSpreadOverIdleEndpoints() {
        Load load = new Load("132 nodes, load 0.3", 132, 60, 12, 0.3, 4, 8, (e, t, l) -> 1);
        StaleNewsPlay.Result learned = load.play(true);
        StaleNewsPlay.Result before = load.play(false);
        assertThat(learned.worstOvershoot()).isLessThan(2.2);
        assertThat(before.worstOvershoot()).isGreaterThan(5);
        assertThat(learned.turnedAway()).isEqualTo(0);
        assertThat(learned.inAim()).isGreaterThan(0.99);
    }

    @Test
    void busyServiceFarFromFullServesAllInTime() {
        Load load = new Load("132 nodes, load 0.7", 132, 60, 12, 0.7, 4, 7, (e, t, l) -> 1);
        StaleNewsPlay.Result learned = load.play(true);
        assertThat(learned.inAim()).isGreaterThan(0.98);
        assertThat(learned.inAim()).isGreaterThan(load.play(false).inAim() + 0.2);
    }

    @Test
    void thirdOfEndpointsFourTimesSlowerForEightSeconds() {
        StaleNewsPlay.Slowness slowness = (e, t, l) -> e % 3 == 0 && t >= 4 && t < 12 ? 4 : 1;
        Load load = new Load("a third 4 times slower", 132, 60, 12, 0.3, 4, 12, slowness);
        StaleNewsPlay.Result learned = load.play(true);
        assertThat(learned.inAim()).isGreaterThan(0.88);
        assertThat(learned.inAim()).isGreaterThan(load.play(false).inAim() + 0.05);
    }

    @Test
    void recoveredEndpointsGetTheirShareAgain() {
        StaleNewsPlay.Slowness slowness = (e, t, l) -> e % 3 == 0 && t >= 2 && t < 6 ? 4 : 1;
        Load load = new Load("10 s after a third was slow", 132, 60, 12, 0.3, 16, 18, slowness);
        StaleNewsPlay.Result learned = load.play(true);
        assertThat(learned.inAim()).isGreaterThan(0.99);
        assertThat(learned.shareOfThird()).isGreaterThan(0.22);
    }

    @Tag("known-red")
    @Test
    void recoveredEndpointsServeALoadThatNeedsThem() {
        StaleNewsPlay.Slowness slowness = (e, t, l) -> e % 3 == 0 && t >= 2 && t < 5 ? 4 : 1;
        Load load = new Load("5 s after, load 0.65", 132, 60, 12, 0.65, 10, 12, slowness);
        StaleNewsPlay.Result learned = load.play(true);
        assertThat(learned.inAim()).isGreaterThan(0.95);
        assertThat(learned.inAim()).isGreaterThan(load.play(false).inAim() + 0.2);
    }

    @Test
    void endpointsThatSlowDownFromHalfOfTheirSlotsOn() {
        StaleNewsPlay.Slowness slowness =
                (e, t, l) -> e % 2 == 0 ? 1 + 6 * Math.max(0, l - 0.5) : 1;
        Load load = new Load("half slow from half load on", 132, 30, 12, 0.45, 6, 12, slowness);
        StaleNewsPlay.Result learned = load.play(true);
        assertThat(learned.inAim()).isGreaterThan(0.8);
        assertThat(learned.inAim()).isGreaterThan(load.play(false).inAim() + 0.2);
    }

    @Test
    void fewEndpointsOfDifferentSpeed() {
        StaleNewsPlay.Slowness slowness = (e, t, l) -> e == 0 ? 2.5 : e == 1 ? 0.6 : 1;
        Load load = new Load("67 nodes, 5 endpoints", 67, 5, 6, 0.4, 4, 12, slowness);
        StaleNewsPlay.Result learned = load.play(true);
        assertThat(learned.turnedAway()).isEqualTo(0);
        assertThat(learned.inAim()).isGreaterThan(0.98);
    }
}
