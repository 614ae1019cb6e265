package org.carobdoor.internal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.deployment.FleetBounds;

/**
 * Decides how many engines of a service to order in each availability zone.
 *
 * <p>Reclaimable engines cost a fraction of on-demand ones, but all reclaimable engines of a zone
 * may be reclaimed at once. Enough of them are ordered to carry the load without the zone that has
 * the most, and on-demand engines only replace what is missing: at the start, while reclaimable
 * engines boot, and while none are available.
 *
 * <p>The load is the engine time measured over the last seconds, with headroom for a burst. Not
 * thread-safe; confined to one thread.
 */
public final class EngineFleetPolicy {
    /** Target utilisation of an engine, low enough that the prompts of a burst wait little. */
    private static final double TARGET_UTILISATION = 0.5;

    /**
     * Target utilisation of on-demand engines, which cost several times as much as reclaimable
     * ones.
     */
    private static final double ON_DEMAND_UTILISATION = 0.6;

    /**
     * Time after a reclaim of the reclaimable engines of a zone in which other zones may follow.
     */
    private static final long RECLAIM_WAVE_NANOS = 12_000_000_000L;

    /** On-demand engines are released after they have not been needed for this long. */
    private static final long RELEASE_DELAY_NANOS = 3_000_000_000L;

    /** Delay before engines are ordered again where none were available. */
    private static final long UNAVAILABLE_RETRY_NANOS = 2_500_000_000L;

    /** Delay, in addition to the boot time, before an order that had no effect is repeated. */
    private static final long ORDER_REPEAT_NANOS = 3_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MILLIS_PER_SECOND = 1e3;

    /**
     * The engines of one zone.
     *
     * @param onDemand on-demand engines that accept requests
     * @param reclaimable reclaimable engines that accept requests
     */
    public record ZoneCount(int onDemand, int reclaimable) {}

    /**
     * An order, which sets the number of engines that a zone should have.
     *
     * @param zone the availability zone
     * @param reclaimable whether the order is for reclaimable engines; on-demand engines are
     *     counted separately
     * @param count the number of engines
     */
    public record Target(AvailabilityZone zone, boolean reclaimable, int count) {}

    private record OrderKey(AvailabilityZone zone, boolean reclaimable) {}

    private record SentOrder(int count, long repeatAtNanos) {}

    private final Map<OrderKey, SentOrder> sentOrders = new HashMap<>();
    private final Map<OrderKey, Long> unavailableUntilNanos = new HashMap<>();
    private final Map<AvailabilityZone, Integer> lastReclaimableCounts = new HashMap<>();
    private long reclaimWaveUntilNanos;
    private boolean reclaimWaveSeen;
    private long surplusSinceNanos;
    private boolean surplus;

    /** Returns a policy that has ordered nothing. */
    public static EngineFleetPolicy create() {
        return new EngineFleetPolicy();
    }

    private EngineFleetPolicy() {}

    /**
     * Returns how many engines are needed for {@code workMillisPerSecond} of engine time per
     * second.
     */
    public static int enginesFor(double workMillisPerSecond) {
        double busy = workMillisPerSecond / MILLIS_PER_SECOND;
        return Math.max(1, (int) Math.ceil(busy / TARGET_UTILISATION));
    }

    /**
     * Returns the orders to send now: those that differ from the engines present and were not sent
     * recently.
     *
     * @param needed the engines that carry the recent load including its peaks
     * @param neededNow the engines that carry the current load
     */
    public List<Target> plan(
            FleetBounds bounds,
            Map<AvailabilityZone, ZoneCount> zones,
            int needed,
            int neededNow,
            long nowNanos) {
        List<Target> targets = new ArrayList<>();
        int otherZones = Math.max(1, zones.size() - 1);
        int perZone =
                Math.clamp(ceilDiv(needed, otherZones), bounds.minPerZone(), bounds.maxPerZone());
        int reclaimable = 0;
        int onDemand = 0;
        for (Map.Entry<AvailabilityZone, ZoneCount> e : zones.entrySet()) {
            ZoneCount z = e.getValue();
            reclaimable += z.reclaimable();
            onDemand += z.onDemand();
            detectReclaimWave(e.getKey(), z.reclaimable(), nowNanos);
            // Reclaimable and on-demand engines share the maximum of a zone.
            int room = Math.max(0, bounds.maxPerZone() - z.onDemand());
            targets.add(new Target(e.getKey(), true, Math.min(perZone, room)));
        }
        boolean inReclaimWave = reclaimWaveSeen && nowNanos - reclaimWaveUntilNanos < 0;
        // The engines of the other zones are often reclaimed within seconds, before new ones have
        // booted.
        int reliableReclaimable = inReclaimWave ? 0 : reclaimable;
        double required = neededNow * TARGET_UTILISATION / ON_DEMAND_UTILISATION;
        int missing = (int) Math.ceil(required - reliableReclaimable);
        updateSurplus(onDemand > Math.max(0, missing), nowNanos);
        boolean releaseSurplus = surplus && nowNanos - surplusSinceNanos >= RELEASE_DELAY_NANOS;
        targets.addAll(onDemandTargets(bounds, zones, missing, perZone, releaseSurplus));
        return targets.stream().filter(t -> isDue(t, zones, nowNanos)).toList();
    }

    /** Records that an order was sent. */
    public void ordered(Target t, FleetBounds bounds, long nowNanos) {
        long repeatAt = nowNanos + bounds.bootMillis() * NANOS_PER_MILLI + ORDER_REPEAT_NANOS;
        sentOrders.put(new OrderKey(t.zone(), t.reclaimable()), new SentOrder(t.count(), repeatAt));
    }

    /** Records that an order was not carried out and may be sent again. */
    public void failed(Target t) {
        sentOrders.remove(new OrderKey(t.zone(), t.reclaimable()));
    }

    /** Records that the engines of an order are currently unavailable. */
    public void unavailable(Target t, long nowNanos) {
        failed(t);
        if (t.reclaimable()) {
            extendReclaimWave(nowNanos + UNAVAILABLE_RETRY_NANOS);
        }
        unavailableUntilNanos.put(
                new OrderKey(t.zone(), t.reclaimable()), nowNanos + UNAVAILABLE_RETRY_NANOS);
    }

    /**
     * Starts a reclaim wave if at least half of the reclaimable engines of a zone, two or more
     * before, are gone without an order.
     */
    private void detectReclaimWave(AvailabilityZone zone, int count, long nowNanos) {
        Integer before = lastReclaimableCounts.put(zone, count);
        SentOrder order = sentOrders.get(new OrderKey(zone, true));
        boolean ordered = order != null && order.count() < (before == null ? 0 : before);
        if (before != null && before >= 2 && count <= before / 2 && !ordered) {
            extendReclaimWave(nowNanos + RECLAIM_WAVE_NANOS);
        }
    }

    private void extendReclaimWave(long untilNanos) {
        if (!reclaimWaveSeen || untilNanos - reclaimWaveUntilNanos > 0) {
            reclaimWaveSeen = true;
            reclaimWaveUntilNanos = untilNanos;
        }
    }

    private void updateSurplus(boolean now, long nowNanos) {
        if (now && !surplus) {
            surplusSinceNanos = nowNanos;
        }
        surplus = now;
    }

    /**
     * Distributes the missing engines over the zones, cheapest first; surplus engines are kept
     * unless {@code releaseSurplus}.
     */
    private static List<Target> onDemandTargets(
            FleetBounds bounds,
            Map<AvailabilityZone, ZoneCount> zones,
            int missing,
            int reclaimablePerZone,
            boolean releaseSurplus) {
        List<Map.Entry<AvailabilityZone, ZoneCount>> byPrice = new ArrayList<>(zones.entrySet());
        byPrice.sort(
                Comparator.comparingDouble(
                                (Map.Entry<AvailabilityZone, ZoneCount> e) ->
                                        bounds.zonePrices().getOrDefault(e.getKey(), 1.0))
                        .thenComparing(Map.Entry.comparingByKey()));
        Map<AvailabilityZone, Integer> wanted = new HashMap<>();
        int left = Math.max(0, missing);
        boolean added = true;
        while (left > 0 && added) {
            added = false;
            for (Map.Entry<AvailabilityZone, ZoneCount> e : byPrice) {
                // Both kinds share the maximum of a zone, so on-demand engines leave room for
                // reclaimable ones that are present, or for one that can replace them.
                int reserved =
                        Math.max(e.getValue().reclaimable(), Math.min(1, reclaimablePerZone));
                int planned = reserved + wanted.getOrDefault(e.getKey(), 0);
                if (left > 0 && planned < bounds.maxPerZone()) {
                    wanted.merge(e.getKey(), 1, Integer::sum);
                    left--;
                    added = true;
                }
            }
        }
        List<Target> targets = new ArrayList<>();
        for (Map.Entry<AvailabilityZone, ZoneCount> e : byPrice) {
            int count = wanted.getOrDefault(e.getKey(), 0);
            int present = e.getValue().onDemand();
            if (count < present && !releaseSurplus) {
                count = present;
            }
            int least = Math.max(0, bounds.minPerZone() - e.getValue().reclaimable());
            targets.add(new Target(e.getKey(), false, Math.max(least, count)));
        }
        return targets;
    }

    private boolean isDue(Target t, Map<AvailabilityZone, ZoneCount> zones, long nowNanos) {
        ZoneCount z = zones.getOrDefault(t.zone(), new ZoneCount(0, 0));
        int present = t.reclaimable() ? z.reclaimable() : z.onDemand();
        OrderKey key = new OrderKey(t.zone(), t.reclaimable());
        SentOrder last = sentOrders.get(key);
        if (present == t.count() && (last == null || last.count() == t.count())) {
            return false;
        }
        Long unavailable = unavailableUntilNanos.get(key);
        if (unavailable != null && nowNanos - unavailable < 0) {
            return false;
        }
        return last == null || last.count() != t.count() || nowNanos - last.repeatAtNanos() >= 0;
    }

    private static int ceilDiv(int a, int b) {
        return (a + b - 1) / b;
    }
}
