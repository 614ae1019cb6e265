package org.carobdoor.internal.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.deployment.FleetBounds;
import org.carobdoor.internal.fleet.EngineFleetPolicy.Target;
import org.carobdoor.internal.fleet.EngineFleetPolicy.ZoneCount;
import org.junit.jupiter.api.Test;

/** Guards against losing the whole fleet with one zone, and against paying for two fleets. */
final class EngineFleetPolicyTest {
    private static final long SECOND = 1_000_000_000L;
    private static final AvailabilityZone A = new AvailabilityZone("a");
    private static final AvailabilityZone B = new AvailabilityZone("b");
    private static final AvailabilityZone C = new AvailabilityZone("c");
    private static final FleetBounds BOUNDS =
            new FleetBounds(1, 8, 4_000, 0.18, Map.of(A, 0.85, B, 1.2, C, 1.0));

    private final EngineFleetPolicy policy = EngineFleetPolicy.create();

    private static Map<AvailabilityZone, ZoneCount> zones(ZoneCount a, ZoneCount b, ZoneCount c) {
        return new TreeMap<>(Map.of(A, a, B, b, C, c));
    }

    private List<Target> plan(Map<AvailabilityZone, ZoneCount> zones, int needed, long now) {
        List<Target> targets = policy.plan(BOUNDS, zones, needed, needed, now);
        targets.forEach(t -> policy.ordered(t, BOUNDS, now));
        return targets;
    }

    @Test
    void reclaimableEnginesCarryTheLoadAfterTheLossOfAnyZone() {
        ZoneCount four = new ZoneCount(4, 0);
        List<Target> targets = plan(zones(four, four, four), 8, 0);
        assertThat(targets)
                .containsExactly(
                        new Target(A, true, 4), new Target(B, true, 4), new Target(C, true, 4));
    }

    @Test
    void onDemandEnginesAreReleasedOnceReclaimableOnesServe() {
        ZoneCount both = new ZoneCount(4, 4);
        plan(zones(both, both, both), 8, 0);
        List<Target> targets = plan(zones(both, both, both), 8, 4 * SECOND);
        assertThat(targets)
                .containsExactly(
                        new Target(A, false, 0), new Target(B, false, 0), new Target(C, false, 0));
    }

    @Test
    void lossOfAZoneOrdersOnDemandEnginesForTheNextLoss() {
        ZoneCount four = new ZoneCount(0, 4);
        plan(zones(four, four, four), 8, 0);
        List<Target> targets = plan(zones(new ZoneCount(0, 0), four, four), 8, SECOND);
        int onDemand = targets.stream().filter(t -> !t.reclaimable()).mapToInt(Target::count).sum();
        assertThat(onDemand).isAtLeast(2);
    }

    @Test
    void unavailableEnginesAreNotOrderedAtEveryTick() {
        ZoneCount none = new ZoneCount(0, 0);
        Map<AvailabilityZone, ZoneCount> zones = zones(none, new ZoneCount(0, 4), none);
        plan(zones, 8, 0).stream()
                .filter(Target::reclaimable)
                .forEach(t -> policy.unavailable(t, 0));
        assertThat(plan(zones, 8, SECOND).stream().filter(Target::reclaimable).toList()).isEmpty();
        assertThat(plan(zones, 8, 3 * SECOND).stream().filter(Target::reclaimable).toList())
                .isNotEmpty();
    }

    @Test
    void bothKindsTogetherStayWithinTheBoundOfAZone() {
        ZoneCount many = new ZoneCount(6, 0);
        for (Target t : plan(zones(many, many, many), 20, 0)) {
            int other = t.reclaimable() ? 6 : 0;
            assertThat(t.count() + other).isAtMost(8);
        }
    }

    @Test
    void orderThatTookNoEffectIsRepeated() {
        ZoneCount none = new ZoneCount(4, 0);
        assertThat(plan(zones(none, none, none), 8, 0)).isNotEmpty();
        assertThat(plan(zones(none, none, none), 8, SECOND)).isEmpty();
        assertThat(plan(zones(none, none, none), 8, 8 * SECOND)).isNotEmpty();
    }
}
