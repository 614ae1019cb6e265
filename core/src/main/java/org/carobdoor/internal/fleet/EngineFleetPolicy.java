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
 * <p>Reclaimable engines cost a fraction of lasting ones, but a zone's worth of them goes at once.
 * So enough of them are ordered that the load is still carried without the zone that has most, and
 * lasting engines are kept only for what is missing: at the start, while reclaimable ones boot, and
 * while none are available.
 *
 * <p>Load answered: the measured work of the last seconds, with room for a burst. Belongs to one
 * thread.
 */
public final class EngineFleetPolicy {
    /**
     * The share of its time that an engine may work, so that the prompts of a burst wait little.
     */
    private static final double TARGET_UTILISATION = 0.5;

    /** The same for lasting engines, which cost several times as much as reclaimable ones. */
    private static final double LASTING_UTILISATION = 0.6;

    /** For how long after a zone's reclaimable engines were taken away others may follow. */
    private static final long RECLAIM_WAVE_NANOS = 12_000_000_000L;

    /** Lasting engines are released when they have not been needed for this long. */
    private static final long SETTLE_NANOS = 3_000_000_000L;

    /** Wait before engines are ordered again where none were available. */
    private static final long UNAVAILABLE_NANOS = 2_500_000_000L;

    /** Wait before an order that has not taken effect is repeated, on top of the boot time. */
    private static final long REPEAT_NANOS = 3_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MILLIS_PER_SECOND = 1e3;

    /**
     * The engines of one zone.
     *
     * @param onDemand lasting engines that accept requests
     * @param reclaimable reclaimable engines that accept requests
     */
    public record ZoneCount(int onDemand, int reclaimable) {}

    /**
     * An order: the number of engines that a zone is to have.
     *
     * @param zone the availability zone
     * @param reclaimable whether it concerns reclaimable engines; the others are counted apart
     * @param count the number
     */
    public record Target(AvailabilityZone zone, boolean reclaimable, int count) {}

    private record Subject(AvailabilityZone zone, boolean reclaimable) {}

    private record Sent(int count, long repeatAtNanos) {}

    private final Map<Subject, Sent> sent = new HashMap<>();
    private final Map<Subject, Long> unavailableUntilNanos = new HashMap<>();
    private final Map<AvailabilityZone, Integer> counts = new HashMap<>();
    private long waveUntilNanos;
    private boolean reclaimSeen;
    private long surplusSinceNanos;
    private boolean surplus;

    /** Returns a policy that has ordered nothing. */
    public static EngineFleetPolicy create() {
        return new EngineFleetPolicy();
    }

    private EngineFleetPolicy() {}

    /** Returns how many engines carry {@code workMillisPerSecond} of engine time a second. */
    public static int enginesFor(double workMillisPerSecond) {
        double busy = workMillisPerSecond / MILLIS_PER_SECOND;
        return Math.max(1, (int) Math.ceil(busy / TARGET_UTILISATION));
    }

    /**
     * Returns the orders to send now: those that differ from what a zone has and were not sent
     * lately.
     *
     * @param needed the engines that carry the load of the last while, its peaks included
     * @param neededNow the engines that carry the load of this moment
     */
    public List<Target> plan(
            FleetBounds bounds,
            Map<AvailabilityZone, ZoneCount> zones,
            int needed,
            int neededNow,
            long nowNanos) {
        List<Target> targets = new ArrayList<>();
        int others = Math.max(1, zones.size() - 1);
        int perZone = Math.clamp(ceilDiv(needed, others), bounds.minPerZone(), bounds.maxPerZone());
        int reclaimable = 0;
        int lasting = 0;
        for (Map.Entry<AvailabilityZone, ZoneCount> e : zones.entrySet()) {
            ZoneCount z = e.getValue();
            reclaimable += z.reclaimable();
            lasting += z.onDemand();
            noteReclaim(e.getKey(), z.reclaimable(), nowNanos);
            // Both kinds share the bound of a zone.
            int room = Math.max(0, bounds.maxPerZone() - z.onDemand());
            targets.add(new Target(e.getKey(), true, Math.min(perZone, room)));
        }
        boolean wave = reclaimSeen && nowNanos - waveUntilNanos < 0;
        // The other zones' engines are often reclaimed within seconds, before new ones have booted.
        int trusted = wave ? 0 : reclaimable;
        double essential = neededNow * TARGET_UTILISATION / LASTING_UTILISATION;
        int missing = (int) Math.ceil(essential - trusted);
        noteSurplus(lasting > Math.max(0, missing), nowNanos);
        boolean settled = surplus && nowNanos - surplusSinceNanos >= SETTLE_NANOS;
        targets.addAll(lastingTargets(bounds, zones, missing, perZone, settled));
        return targets.stream().filter(t -> isDue(t, zones, nowNanos)).toList();
    }

    /** Notes that an order was sent. */
    public void ordered(Target t, FleetBounds bounds, long nowNanos) {
        long repeatAt = nowNanos + bounds.bootMillis() * NANOS_PER_MILLI + REPEAT_NANOS;
        sent.put(new Subject(t.zone(), t.reclaimable()), new Sent(t.count(), repeatAt));
    }

    /** Notes that an order was not carried out and may be sent again. */
    public void failed(Target t) {
        sent.remove(new Subject(t.zone(), t.reclaimable()));
    }

    /** Notes that the engines of an order are not available for now. */
    public void unavailable(Target t, long nowNanos) {
        failed(t);
        if (t.reclaimable()) {
            noteWave(nowNanos + UNAVAILABLE_NANOS);
        }
        unavailableUntilNanos.put(
                new Subject(t.zone(), t.reclaimable()), nowNanos + UNAVAILABLE_NANOS);
    }

    /** Notes when the reclaimable engines of a zone were reclaimed at once. */
    private void noteReclaim(AvailabilityZone zone, int count, long nowNanos) {
        Integer before = counts.put(zone, count);
        Sent order = sent.get(new Subject(zone, true));
        boolean ordered = order != null && order.count() < (before == null ? 0 : before);
        if (before != null && before >= 2 && count <= before / 2 && !ordered) {
            noteWave(nowNanos + RECLAIM_WAVE_NANOS);
        }
    }

    private void noteWave(long untilNanos) {
        if (!reclaimSeen || untilNanos - waveUntilNanos > 0) {
            reclaimSeen = true;
            waveUntilNanos = untilNanos;
        }
    }

    private void noteSurplus(boolean now, long nowNanos) {
        if (now && !surplus) {
            surplusSinceNanos = nowNanos;
        }
        surplus = now;
    }

    /** Spreads the missing engines over the zones, cheapest first; keeps more until settled. */
    private static List<Target> lastingTargets(
            FleetBounds bounds,
            Map<AvailabilityZone, ZoneCount> zones,
            int missing,
            int reclaimablePerZone,
            boolean settled) {
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
                // Both kinds share the bound, so lasting ones leave room for one to be replaced.
                int reserved =
                        Math.max(e.getValue().reclaimable(), Math.min(1, reclaimablePerZone));
                int taken = reserved + wanted.getOrDefault(e.getKey(), 0);
                if (left > 0 && taken < bounds.maxPerZone()) {
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
            if (count < present && !settled) {
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
        Subject subject = new Subject(t.zone(), t.reclaimable());
        Sent last = sent.get(subject);
        if (present == t.count() && (last == null || last.count() == t.count())) {
            return false;
        }
        Long unavailable = unavailableUntilNanos.get(subject);
        if (unavailable != null && nowNanos - unavailable < 0) {
            return false;
        }
        return last == null || last.count() != t.count() || nowNanos - last.repeatAtNanos() >= 0;
    }

    private static int ceilDiv(int a, int b) {
        return (a + b - 1) / b;
    }
}
