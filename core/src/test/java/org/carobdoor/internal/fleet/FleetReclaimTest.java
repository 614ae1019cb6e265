package org.carobdoor.internal.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import java.util.function.UnaryOperator;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.deployment.FleetBounds;
import org.carobdoor.internal.fleet.EngineFleetPolicy.ZoneCount;
import org.carobdoor.internal.fleet.FleetSimulation.Result;
import org.carobdoor.internal.fleet.FleetSimulation.Rule;
import org.junit.jupiter.api.Test;

/**
 * Guards against a fleet that is too small for seconds after reclaims, or far too large long after.
 */
final class FleetReclaimTest {
    private static final double START = FleetSimulation.START;

    /** A load that grows to three times for some seconds. */
    private static DoubleUnaryOperator burst(double from, double until) {
        return t -> t >= from && t < until ? 12_000 : 4_000;
    }

    private static Result play(
            Rule rule, DoubleUnaryOperator load, UnaryOperator<FleetSimulation> day) {
        Result r = day.apply(new FleetSimulation(rule, load)).play(START + 60);
        System.out.printf(
                "fleet %-6s price %6.1f, too few %4.1f s, engines ordered %3d, orders %3d%n",
                rule, r.price(), r.tooFewSeconds(), r.engines(), r.reclaimableOrders());
        return r;
    }

    private static FleetSimulation threeReclaims(FleetSimulation s) {
        return s.reclaim(FleetSimulation.C, START + 3.5)
                .reclaim(FleetSimulation.B, START + 8)
                .reclaim(FleetSimulation.A, START + 14)
                .noneAvailable(START + 3.5, START + 18.5);
    }

    @Test
    void threeReclaimsWithNothingToOrderAndANewHolder() {
        UnaryOperator<FleetSimulation> day = s -> threeReclaims(s).takeOver(START + 5.5, false);
        Result before = play(Rule.BEFORE, burst(6.5, 13), day);
        Result after = play(Rule.AFTER, burst(6.5, 13), day);
        assertThat(after.tooFewSeconds()).isAtMost(before.tooFewSeconds() / 2);
        assertThat(after.price()).isAtMost(0.97 * before.price());
    }

    @Test
    void threeReclaimsWithNothingToOrder() {
        Result before = play(Rule.BEFORE, burst(6.5, 13), FleetReclaimTest::threeReclaims);
        Result after = play(Rule.AFTER, burst(6.5, 13), FleetReclaimTest::threeReclaims);
        assertThat(after.tooFewSeconds()).isAtMost(before.tooFewSeconds());
        assertThat(after.price()).isAtMost(0.97 * before.price());
    }

    @Test
    void burstOfThreeSecondsOrdersNothingOnDemand() {
        Result before = play(Rule.BEFORE, burst(10, 13), s -> s);
        Result after = play(Rule.AFTER, burst(10, 13), s -> s);
        assertThat(after.price()).isAtMost(before.price());
        assertThat(after.onDemandEngines()).isEqualTo(0);
        assertThat(after.tooFewSeconds()).isEqualTo(0);
    }

    @Test
    void waveOfFortySecondsIsServedWithoutChurn() {
        DoubleUnaryOperator wave = t -> 5_000 * (1 + 0.3 * Math.sin(2 * Math.PI * t / 40));
        Result before = play(Rule.BEFORE, wave, s -> s);
        Result after = play(Rule.AFTER, wave, s -> s);
        assertThat(after.tooFewSeconds()).isEqualTo(0);
        assertThat(after.price()).isAtMost(before.price() * 1.02);
        assertThat(after.engines()).isAtMost(before.engines() + 3);
    }

    @Test
    void lossOfAnyZoneLeavesEnoughAtUnequalPrices() {
        for (AvailabilityZone zone : FleetSimulation.BOUNDS.zonePrices().keySet()) {
            Result r = play(Rule.AFTER, t -> 5_000, s -> s.reclaim(zone, START + 10));
            assertThat(r.tooFewSeconds()).isEqualTo(0);
        }
    }

    @Test
    void newNodeThatKnowsOnlyWhatIsPresentLowersNothing() {
        UnaryOperator<FleetSimulation> day = s -> threeReclaims(s).takeOver(START + 5.5, true);
        Result before = play(Rule.BEFORE, burst(6.5, 13), day);
        Result after = play(Rule.AFTER, burst(6.5, 13), day);
        assertThat(after.tooFewSeconds()).isAtMost(before.tooFewSeconds());
        assertThat(after.price()).isAtMost(0.95 * before.price());
    }

    @Test
    void newHolderLowersNoCountWhileOrdersMayBoot() {
        EngineFleetPolicy policy = EngineFleetPolicy.create();
        FleetBounds bounds = FleetSimulation.BOUNDS;
        ZoneCount six = new ZoneCount(2, 6);
        Map<AvailabilityZone, ZoneCount> zones =
                Map.of(FleetSimulation.A, six, FleetSimulation.B, six, FleetSimulation.C, six);
        policy.takeOver(bounds, 0);
        assertThat(policy.plan(bounds, zones, 4, 4, 5 * FleetSimulation.SECOND)).isEmpty();
        assertThat(policy.plan(bounds, zones, 4, 4, 6 * FleetSimulation.SECOND)).isNotEmpty();
    }

    @Test
    void cutZoneIsNotTakenForAReclaim() {
        UnaryOperator<FleetSimulation> day = s -> s.cut(START + 20, START + 25.5);
        Result before = play(Rule.BEFORE, t -> 4_500, day);
        Result after = play(Rule.AFTER, t -> 4_500, day);
        assertThat(after.tooFewSeconds()).isEqualTo(0);
        assertThat(after.price()).isLessThan(0.9 * before.price());
    }

    @Test
    void refusedOrdersAreFewWhileNoneAreAvailable() {
        UnaryOperator<FleetSimulation> day =
                s -> s.reclaim(FleetSimulation.A, START + 10).noneAvailable(START + 10, START + 20);
        Result calm = play(Rule.AFTER, t -> 4_500, s -> s);
        Result dry = play(Rule.AFTER, t -> 4_500, day);
        assertThat(dry.reclaimableOrders() - calm.reclaimableOrders()).isAtMost(16);
        assertThat(dry.tooFewSeconds()).isEqualTo(0);
    }
}
