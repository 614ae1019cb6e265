package org.carobdoor.internal.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Lease;
import org.junit.jupiter.api.Test;

/**
 * Guards against orders that are placed twice or too fast, and against capacity that is not
 * restored.
 */
final class FleetPlannerTest {
    private static final FleetSettings SETTINGS = FleetSettings.defaults();
    private static final FleetNeed NEED = new FleetNeed(1_000, 200);

    private Instant now = Instant.parse("2026-12-04T00:00:00Z");
    private FleetState stored = FleetState.initial();
    private long version;
    private long fencing;

    private FleetPlanner planner(long seed) {
        return FleetPlanner.create(SETTINGS, () -> now, new SplittableRandom(seed));
    }

    private List<FleetAction> takeLease(FleetPlanner planner) {
        fencing++;
        var lease = new Lease("fleet", "h" + fencing, fencing, now.plus(Duration.ofHours(9)));
        return planner.onLease(lease, FleetState.decode(stored.encode()), version);
    }

    /**
     * Performs {@code actions}; the answer to a write can be lost, whether or not the write took
     * effect.
     */
    private void perform(
            List<FleetAction> actions, FleetPlanner planner, FakeCloud cloud, SplittableRandom r) {
        Deque<FleetAction> queue = new ArrayDeque<>(actions);
        while (!queue.isEmpty()) {
            switch (queue.poll()) {
                case FleetAction.Place place -> cloud.place(place, planner, now.toEpochMilli());
                case FleetAction.Release release -> cloud.release(release.vm());
                case FleetAction.Save save -> {
                    boolean isLost = r.nextInt(10) == 0;
                    boolean applies =
                            save.expectedVersion() == version && (!isLost || r.nextBoolean());
                    if (applies) {
                        stored = save.state();
                        version++;
                    }
                    queue.addAll(
                            applies && !isLost
                                    ? planner.onSaved(version)
                                    : planner.onReloaded(stored, version));
                }
            }
        }
    }

    @Test
    void restoresCapacityAtABoundedRateThroughWavesRefusalsAndNewHolders() {
        for (long seed = 1; seed <= 20; seed++) {
            var random = new SplittableRandom(seed);
            var cloud = new FakeCloud(random);
            List<FleetPlanner> nodes = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                nodes.add(planner(seed * 10 + i));
            }
            perform(takeLease(nodes.get(0)), nodes.get(0), cloud, random);
            for (int second = 0; second < 5_400; second++) {
                now = now.plusSeconds(1);
                boolean isFaultFree = second > 3_600;
                cloud.refusalProbability = isFaultFree ? 0 : 0.5;
                cloud.answerLossProbability = isFaultFree ? 0 : 0.2;
                if (!isFaultFree && second % 300 == 299) {
                    cloud.reclaim(
                            Optional.of(new AvailabilityZone("abc".charAt(random.nextInt(3)) + "")),
                            0.9);
                }
                if (!isFaultFree && random.nextInt(120) == 0) {
                    cloud.reclaim(Optional.empty(), 0.3);
                }
                if (second % 15 == 0) {
                    cloud.refreshList();
                }
                if (!isFaultFree && random.nextInt(200) == 0) {
                    // The old holder is not notified and must detect the change itself.
                    FleetPlanner next = nodes.get(random.nextInt(3));
                    perform(takeLease(next), next, cloud, random);
                }
                for (FleetPlanner node : nodes) {
                    perform(node.step(cloud.listed(), FakeCloud.OFFERS, NEED), node, cloud, random);
                }
            }
            assertWithMessage("seed %s", seed).that(cloud.live().meets(NEED)).isTrue();
            assertWithMessage("seed %s", seed).that(cloud.started()).isAtMost(cloud.tokens());
            assertRateIsBounded(seed, cloud.newTokensAt);
        }
    }

    private static void assertRateIsBounded(long seed, List<Long> at) {
        long worst = 0;
        for (int i = 0; i < at.size(); i++) {
            for (int j = i; j < at.size(); j++) {
                long intervals = (at.get(j) - at.get(i)) / SETTINGS.orderInterval().toMillis();
                worst = Math.max(worst, j - i + 1 - intervals);
            }
        }
        assertWithMessage("seed %s", seed).that(worst).isAtMost((long) SETTINGS.burst());
    }

    @Test
    void newHolderPlacesStoredOrdersAgainWithTheSameTokens() {
        var random = new SplittableRandom(3);
        var cloud = new FakeCloud(random);
        cloud.answerLossProbability = 1;
        FleetPlanner first = planner(1);
        perform(takeLease(first), first, cloud, new SplittableRandom(5));
        FleetNeed need = new FleetNeed(300, 0);
        perform(first.step(List.of(), FakeCloud.OFFERS, need), first, cloud, random);
        int started = cloud.started();
        assertThat(started).isGreaterThan(3);
        cloud.answerLossProbability = 0;
        FleetPlanner second = planner(2);
        now = now.plusSeconds(30);
        perform(takeLease(second), second, cloud, random);
        for (int i = 0; i < 20; i++) {
            now = now.plusSeconds(5);
            perform(second.step(List.of(), FakeCloud.OFFERS, need), second, cloud, random);
        }
        assertThat(cloud.started()).isEqualTo(started);
    }

    @Test
    void pausedHolderPlacesNothingAfterALaterHolderHasWritten() {
        var random = new SplittableRandom(3);
        var cloud = new FakeCloud(random);
        FleetPlanner first = planner(1);
        perform(takeLease(first), first, cloud, random);
        FleetPlanner second = planner(2);
        perform(takeLease(second), second, cloud, random);
        perform(first.step(List.of(), FakeCloud.OFFERS, NEED), first, cloud, random);
        assertThat(cloud.started()).isEqualTo(0);
        assertThat(first.isHolder()).isFalse();
    }

    @Test
    void backOffDoublesWithEachBatchOfRefusals() {
        var backOff = new BackOff(SETTINGS, new SplittableRandom(1));
        Offer offer = FakeCloud.OFFERS.getFirst();
        for (int wait : List.of(5, 10, 20, 40)) {
            backOff.onRefused(offer, now);
            backOff.onRefused(offer, now);
            assertThat(backOff.allows(offer, now.plusSeconds(wait - 1))).isFalse();
            assertThat(backOff.allows(FakeCloud.OFFERS.get(1), now)).isTrue();
            now = now.plusMillis(wait * 1_250L + 1);
            assertThat(backOff.allows(offer, now)).isTrue();
        }
    }

    @Test
    void cheapestOffersMeetTheNeedAfterTheLossOfAnyZone() {
        var plan = new SpreadPlan(List.of());
        List<Offer> added = plan.additions(NEED, FakeCloud.OFFERS, 100);
        assertThat(plan.meets(NEED)).isTrue();
        assertThat(added).hasSize(15);
        assertThat(added.stream().filter(o -> !o.reclaimable())).hasSize(2);
    }

    /**
     * Zone a has only an on-demand offer at 3.0; one VM there raises the remaining capacity as much
     * as one VM each in b and c, at 2.4 together.
     */
    @Test
    void twoCheapVmsAreTakenInsteadOfOneThatCostsMore() {
        Offer b = FakeCloud.offer("b", true, 1.1);
        Offer c = FakeCloud.offer("c", true, 1.3);
        var plan = new SpreadPlan(List.of(b, c));
        var offers = List.of(b, c, FakeCloud.offer("a", false, 3));
        assertThat(plan.additions(new FleetNeed(200, 0), offers, 10)).containsExactly(b, c);
        assertThat(plan.capacityAfterZoneLoss()).isWithin(1e-9).of(200);
    }

    @Test
    void excessIsReleasedMostExpensiveFirstAfterADelay() {
        var random = new SplittableRandom(3);
        var cloud = new FakeCloud(random);
        FleetPlanner planner = planner(1);
        perform(takeLease(planner), planner, cloud, random);
        for (int i = 0; i < 2_000; i++) {
            now = now.plusSeconds(1);
            cloud.refreshList();
            FleetNeed need = i < 200 ? NEED : new FleetNeed(400, 0);
            perform(planner.step(cloud.listed(), FakeCloud.OFFERS, need), planner, cloud, random);
        }
        assertThat(cloud.live().canSpare(FakeCloud.OFFERS.get(3), NEED)).isFalse();
        assertThat(cloud.listed().stream().filter(v -> !v.offer().reclaimable() && v.counts()))
                .isEmpty();
    }
}
