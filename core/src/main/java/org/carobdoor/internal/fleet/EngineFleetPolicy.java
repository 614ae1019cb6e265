package org.carobdoor.internal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.deployment.EngineTraits;
import org.carobdoor.internal.deployment.FleetBounds;

/**
 * Decides how many engines of a service to order in each availability zone.
 *
 * <p>Reclaimable engines cost a fraction of on-demand ones, but all reclaimable engines of a zone
 * may be reclaimed at once. Enough of them are ordered to carry the load without the zone that has
 * the most, and on-demand engines only replace what is missing: at the start, while reclaimable
 * engines boot, and while none are available.
 *
 * <p>The load is the engine time measured over the last seconds, with headroom for a burst.
 *
 * <p>Orders that are booting are listed nowhere, and an order sets a count: a node that takes over
 * the duties within seconds of a reclaim and knows only the engines present would cancel the
 * replacements. So every node follows the same plan without sending it ({@link #follow}), and a new
 * holder lowers no count before what its predecessor ordered has booted ({@link #takeOver}).
 *
 * <p>Not thread-safe; confined to one thread.
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

    /** Time in which an engine that has booted is listed as present. */
    private static final long LISTING_NANOS = 1_500_000_000L;

    /** Engines with up to this many slots have none left for the load of missing engines. */
    private static final int MAX_SLOTS_WITHOUT_RESERVE = 24;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MILLIS_PER_SECOND = 1e3;

    /**
     * The engines of one zone.
     *
     * @param onDemand on-demand engines that accept requests
     * @param reclaimable reclaimable engines that accept requests
     * @param unreachable further reclaimable engines that are listed as accepting requests but
     *     cannot be reached, as in a zone that is cut off; these were not reclaimed
     */
    public record ZoneCount(int onDemand, int reclaimable, int unreachable) {

        /** Creates a count of engines that can all be reached. */
        public ZoneCount(int onDemand, int reclaimable) {
            this(onDemand, reclaimable, 0);
        }
    }

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

    private record SentOrder(int count, long listedAtNanos, long repeatAtNanos) {}

    private final Map<OrderKey, SentOrder> sentOrders = new HashMap<>();
    private final Map<OrderKey, Long> unavailableUntilNanos = new HashMap<>();
    private final Map<AvailabilityZone, Integer> lastReclaimableCounts = new HashMap<>();
    private long reclaimWaveUntilNanos;
    private boolean reclaimWaveSeen;
    private long surplusSinceNanos;
    private boolean surplus;
    private boolean holding;
    private long holdUntilNanos;

    /** Returns a policy that has ordered nothing. */
    public static EngineFleetPolicy create() {
        return new EngineFleetPolicy();
    }

    private EngineFleetPolicy() {}

    /**
     * Returns whether all nodes follow the plan of the duty holder, so that a new one goes on from
     * it. Engines that run many requests at once take the load of missing ones for the seconds in
     * which a new holder measures it; engines with few slots refuse.
     *
     * @param engine the engines of the service, if it has any
     */
    public static boolean isFollowedByAll(Optional<EngineTraits> engine) {
        return engine.isPresent() && engine.get().slots() <= MAX_SLOTS_WITHOUT_RESERVE;
    }

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
            detectReclaimWave(e.getKey(), z.reclaimable() + z.unreachable(), nowNanos);
            // Reclaimable and on-demand engines share the maximum of a zone.
            int room = Math.max(0, bounds.maxPerZone() - z.onDemand());
            targets.add(new Target(e.getKey(), true, Math.min(perZone, room)));
        }
        boolean inReclaimWave = inReclaimWave(nowNanos);
        // The engines of the other zones are often reclaimed within seconds, before new ones have
        // booted.
        int reliableReclaimable = inReclaimWave ? 0 : reclaimable;
        double required = neededNow * TARGET_UTILISATION / ON_DEMAND_UTILISATION;
        int missing = (int) Math.ceil(required - reliableReclaimable);
        updateSurplus(onDemand > Math.max(0, missing), nowNanos);
        boolean releaseSurplus = surplus && nowNanos - surplusSinceNanos >= RELEASE_DELAY_NANOS;
        targets.addAll(onDemandTargets(bounds, zones, missing, perZone, releaseSurplus, nowNanos));
        return targets.stream()
                .map(t -> withoutLowering(t, bounds, zones, nowNanos))
                .filter(t -> isDue(t, zones, nowNanos))
                .toList();
    }

    /**
     * Plans as the holder of the duties does, and takes its orders for sent. The parameters are
     * those of {@link #plan}.
     */
    public void follow(
            FleetBounds bounds,
            Map<AvailabilityZone, ZoneCount> zones,
            int needed,
            int neededNow,
            long nowNanos) {
        plan(bounds, zones, needed, neededNow, nowNanos).forEach(t -> ordered(t, bounds, nowNanos));
    }

    /**
     * Records that this node now holds the duties. What the previous holder ordered may be booting,
     * or may not have been sent: all counts that differ from the engines present are sent again,
     * and none is lowered for the boot time.
     */
    public void takeOver(FleetBounds bounds, long nowNanos) {
        sentOrders.replaceAll(
                (k, order) -> new SentOrder(order.count(), order.listedAtNanos(), nowNanos));
        holding = true;
        holdUntilNanos = listedAtNanos(bounds, nowNanos);
    }

    private Target withoutLowering(
            Target t, FleetBounds bounds, Map<AvailabilityZone, ZoneCount> zones, long nowNanos) {
        if (!holding || nowNanos - holdUntilNanos >= 0) {
            holding = false;
            return t;
        }
        int booting = booting(new OrderKey(t.zone(), t.reclaimable()), nowNanos);
        int atLeast = Math.max(present(t, zones), booting);
        return new Target(
                t.zone(),
                t.reclaimable(),
                Math.max(t.count(), Math.min(atLeast, bounds.maxPerZone())));
    }

    /**
     * Returns what currently shapes the orders, for logs: {@code reclaim} if reclaimable engines
     * are not counted on, {@code hold} if no count is lowered, otherwise {@code steady}.
     */
    public String mode(long nowNanos) {
        if (inReclaimWave(nowNanos)) {
            return "reclaim";
        }
        return holding && nowNanos - holdUntilNanos < 0 ? "hold" : "steady";
    }

    private boolean inReclaimWave(long nowNanos) {
        return reclaimWaveSeen && nowNanos - reclaimWaveUntilNanos < 0;
    }

    /** Records that an order was sent. */
    public void ordered(Target t, FleetBounds bounds, long nowNanos) {
        long repeatAt = nowNanos + bounds.bootMillis() * NANOS_PER_MILLI + ORDER_REPEAT_NANOS;
        sentOrders.put(
                new OrderKey(t.zone(), t.reclaimable()),
                new SentOrder(t.count(), listedAtNanos(bounds, nowNanos), repeatAt));
    }

    private static long listedAtNanos(FleetBounds bounds, long orderedNanos) {
        return orderedNanos + bounds.bootMillis() * NANOS_PER_MILLI + LISTING_NANOS;
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
     * Distributes the missing engines over the zones: first over those that have on-demand engines
     * or boot some, so that a change of a zone's reclaimable engines moves none of them elsewhere,
     * then cheapest first. Surplus engines are kept unless {@code releaseSurplus}.
     */
    private List<Target> onDemandTargets(
            FleetBounds bounds,
            Map<AvailabilityZone, ZoneCount> zones,
            int missing,
            int reclaimablePerZone,
            boolean releaseSurplus,
            long nowNanos) {
        List<AvailabilityZone> byPrice = new ArrayList<>(zones.keySet());
        byPrice.sort(
                Comparator.comparingDouble(
                                (AvailabilityZone z) -> bounds.zonePrices().getOrDefault(z, 1.0))
                        .thenComparing(Comparator.naturalOrder()));
        Map<AvailabilityZone, Integer> held = new HashMap<>();
        Map<AvailabilityZone, Integer> most = new HashMap<>();
        Map<AvailabilityZone, Integer> mostHeld = new HashMap<>();
        for (AvailabilityZone z : byPrice) {
            ZoneCount count = zones.getOrDefault(z, new ZoneCount(0, 0));
            // Both kinds share the maximum of a zone, so on-demand engines leave room for
            // reclaimable ones that are present, or for one that can replace them.
            int reserved = Math.max(count.reclaimable(), Math.min(1, reclaimablePerZone));
            int room = Math.max(0, bounds.maxPerZone() - reserved);
            held.put(z, Math.max(count.onDemand(), booting(new OrderKey(z, false), nowNanos)));
            most.put(z, room);
            mostHeld.put(z, Math.min(held.getOrDefault(z, 0), room));
        }
        Map<AvailabilityZone, Integer> wanted = new HashMap<>();
        int left = distribute(Math.max(0, missing), byPrice, mostHeld, wanted);
        distribute(left, byPrice, most, wanted);
        List<Target> targets = new ArrayList<>();
        for (AvailabilityZone z : byPrice) {
            int count = wanted.getOrDefault(z, 0);
            int kept = releaseSurplus ? 0 : held.getOrDefault(z, 0);
            ZoneCount present = zones.getOrDefault(z, new ZoneCount(0, 0));
            int least = Math.max(0, bounds.minPerZone() - present.reclaimable());
            targets.add(new Target(z, false, Math.max(least, Math.max(count, kept))));
        }
        return targets;
    }

    /**
     * Adds {@code count} engines to {@code wanted}, one per zone in turn and at most {@code most}
     * in each, and returns how many found no room.
     */
    private static int distribute(
            int count,
            List<AvailabilityZone> zones,
            Map<AvailabilityZone, Integer> most,
            Map<AvailabilityZone, Integer> wanted) {
        int left = count;
        boolean added = true;
        while (left > 0 && added) {
            added = false;
            for (AvailabilityZone z : zones) {
                if (left > 0 && wanted.getOrDefault(z, 0) < most.getOrDefault(z, 0)) {
                    wanted.merge(z, 1, Integer::sum);
                    left--;
                    added = true;
                }
            }
        }
        return left;
    }

    /** Returns the count of the last order if its engines may be booting, otherwise 0. */
    private int booting(OrderKey key, long nowNanos) {
        SentOrder last = sentOrders.get(key);
        return last != null && nowNanos - last.listedAtNanos() < 0 ? last.count() : 0;
    }

    private boolean isDue(Target t, Map<AvailabilityZone, ZoneCount> zones, long nowNanos) {
        int present = present(t, zones);
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

    private static int present(Target t, Map<AvailabilityZone, ZoneCount> zones) {
        ZoneCount z = zones.getOrDefault(t.zone(), new ZoneCount(0, 0));
        return t.reclaimable() ? z.reclaimable() : z.onDemand();
    }

    private static int ceilDiv(int a, int b) {
        return (a + b - 1) / b;
    }
}
