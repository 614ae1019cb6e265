package org.carobdoor.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.deployment.FleetBounds;
import org.carobdoor.internal.fleet.EngineFleetPolicy.Target;
import org.carobdoor.internal.fleet.EngineFleetPolicy.ZoneCount;

/**
 * Plays the orders of two nodes, of which one holds the duties, against a fleet that boots slowly
 * and is reclaimed by zone.
 */
final class FleetSimulation {
    static final long SECOND = 1_000_000_000L;
    static final AvailabilityZone A = new AvailabilityZone("a");
    static final AvailabilityZone B = new AvailabilityZone("b");
    static final AvailabilityZone C = new AvailabilityZone("c");
    static final FleetBounds BOUNDS =
            new FleetBounds(1, 8, 4_000, 0.18, Map.of(A, 0.85, B, 1.2, C, 1.0));

    /** Engine time a second that an engine can take before its callers are late. */
    private static final double CAPACITY = 900;

    private static final double TICK = 0.5;
    private static final double NOTICE = 2.5;

    /** Time from the end of the boot until an engine is listed. */
    private static final double LISTING = 1;

    /** Start of the load; the fleet starts at 0 with the operator's own on-demand engines. */
    static final double START = 20;

    /** How the nodes decide. */
    enum Rule {
        /** Only the holder plans, and its successor knows what is present. */
        BEFORE,
        AFTER
    }

    /**
     * What was played.
     *
     * @param onDemandEngines on-demand engines ordered since the load began
     */
    record Result(
            double price,
            double tooFewSeconds,
            int engines,
            int onDemandEngines,
            int reclaimableOrders) {}

    private record Engine(
            AvailabilityZone zone, boolean reclaimable, double readyAt, double endAt) {
        boolean serves(double t) {
            return readyAt <= t && t < endAt;
        }
    }

    private static final class Node {
        private final FleetDemand demand;
        private final EngineFleetPolicy policy = EngineFleetPolicy.create();

        Node(Rule rule) {
            demand = rule == Rule.AFTER ? FleetDemand.create() : FleetDemand.withConstantDecline();
        }
    }

    private final Rule rule;
    private final DoubleUnaryOperator load;
    private final List<Engine> engines = new ArrayList<>();
    private final Map<Double, AvailabilityZone> reclaims = new TreeMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private double dryFrom = Double.MAX_VALUE;
    private double dryUntil;
    private double cutFrom = Double.MAX_VALUE;
    private double cutUntil;
    private double takeOverAt = Double.MAX_VALUE;
    private boolean successorIsNew;
    private int engineCount;
    private int onDemandCount;
    private int reclaimableOrders;

    FleetSimulation(Rule rule, DoubleUnaryOperator load) {
        this.rule = rule;
        this.load = load;
        nodes.add(new Node(rule));
        nodes.add(new Node(rule));
        for (AvailabilityZone z : BOUNDS.zonePrices().keySet()) {
            for (int i = 0; i < 4; i++) {
                engines.add(new Engine(z, false, 0, Double.MAX_VALUE));
            }
        }
    }

    FleetSimulation reclaim(AvailabilityZone zone, double at) {
        reclaims.put(at, zone);
        return this;
    }

    FleetSimulation noneAvailable(double from, double until) {
        dryFrom = from;
        dryUntil = until;
        return this;
    }

    /** Cuts zone A off: its engines run on, but no node reaches them. */
    FleetSimulation cut(double from, double until) {
        cutFrom = from;
        cutUntil = until;
        return this;
    }

    FleetSimulation takeOver(double at, boolean byNewNode) {
        takeOverAt = at;
        successorIsNew = byNewNode;
        return this;
    }

    Result play(double until) {
        double price = 0;
        double tooFew = 0;
        int holder = 0;
        for (double t = 0; t < until; t += TICK) {
            double now = t;
            for (Map.Entry<Double, AvailabilityZone> e : reclaims.entrySet()) {
                if (e.getKey() == now) {
                    reclaimNow(e.getValue(), now);
                }
            }
            if (t == takeOverAt) {
                holder = 1;
                if (successorIsNew) {
                    nodes.set(1, new Node(rule));
                }
            }
            double work = t < START ? 0 : load.applyAsDouble(t - START);
            for (int i = 0; i < nodes.size(); i++) {
                tick(nodes.get(i), work, i == holder, t == takeOverAt || t == 0, t);
            }
            engines.removeIf(e -> e.endAt() <= now);
            price += TICK * engines.stream().mapToDouble(FleetSimulation::price).sum();
            long serving =
                    engines.stream().filter(e -> e.serves(now) && !isCut(e.zone(), now)).count();
            tooFew += serving * CAPACITY < work ? TICK : 0;
        }
        return new Result(price, tooFew, engineCount, onDemandCount, reclaimableOrders);
    }

    private void tick(Node n, double work, boolean holds, boolean takesOver, double t) {
        long now = (long) (t * SECOND);
        n.demand.measured(work);
        if (!holds && rule == Rule.BEFORE) {
            return;
        }
        Map<AvailabilityZone, ZoneCount> zones = listed(t);
        int onDemand = zones.values().stream().mapToInt(ZoneCount::onDemand).sum();
        int reclaimable = zones.values().stream().mapToInt(ZoneCount::reclaimable).sum();
        if (holds && takesOver && rule == Rule.AFTER) {
            n.policy.takeOver(BOUNDS, now);
        }
        Optional<FleetDemand.Engines> need = n.demand.estimate(onDemand, reclaimable, now);
        if (need.isEmpty()) {
            return;
        }
        int peak = need.get().peak();
        if (!holds) {
            n.policy.follow(BOUNDS, zones, peak, need.get().now(), now);
            return;
        }
        for (Target o : n.policy.plan(BOUNDS, zones, peak, need.get().now(), now)) {
            n.policy.ordered(o, BOUNDS, now);
            if (!order(o, t)) {
                n.policy.unavailable(o, now);
            }
        }
    }

    private Map<AvailabilityZone, ZoneCount> listed(double t) {
        Map<AvailabilityZone, ZoneCount> zones = new TreeMap<>();
        for (AvailabilityZone z : BOUNDS.zonePrices().keySet()) {
            int onDemand = (int) present(z, false, t);
            int reclaimable = (int) present(z, true, t);
            ZoneCount reached = new ZoneCount(onDemand, reclaimable);
            ZoneCount cut = new ZoneCount(0, 0, rule == Rule.AFTER ? reclaimable : 0);
            zones.put(z, isCut(z, t) ? cut : reached);
        }
        return zones;
    }

    private long present(AvailabilityZone zone, boolean reclaimable, double t) {
        return engines.stream()
                .filter(e -> e.zone().equals(zone) && e.reclaimable() == reclaimable)
                .filter(e -> e.readyAt() <= t && e.endAt() == Double.MAX_VALUE)
                .count();
    }

    private boolean order(Target o, double t) {
        List<Engine> kind =
                engines.stream()
                        .filter(e -> e.zone().equals(o.zone()))
                        .filter(e -> e.reclaimable() == o.reclaimable())
                        .filter(e -> e.endAt() == Double.MAX_VALUE)
                        .toList();
        reclaimableOrders += o.reclaimable() ? 1 : 0;
        if (o.reclaimable() && o.count() > kind.size() && t >= dryFrom && t < dryUntil) {
            return false;
        }
        for (int i = kind.size(); i < o.count(); i++) {
            engines.add(
                    new Engine(
                            o.zone(),
                            o.reclaimable(),
                            t + BOUNDS.bootMillis() / 1e3 + LISTING,
                            Double.MAX_VALUE));
            engineCount++;
            onDemandCount += o.reclaimable() || t < START ? 0 : 1;
        }
        kind.subList(Math.min(o.count(), kind.size()), kind.size()).forEach(engines::remove);
        return true;
    }

    private void reclaimNow(AvailabilityZone zone, double t) {
        engines.replaceAll(
                e ->
                        e.reclaimable() && e.zone().equals(zone)
                                ? new Engine(zone, true, e.readyAt(), t + NOTICE)
                                : e);
    }

    private boolean isCut(AvailabilityZone zone, double t) {
        return zone.equals(A) && t >= cutFrom && t < cutUntil;
    }

    private static double price(Engine e) {
        double price = BOUNDS.zonePrices().getOrDefault(e.zone(), 1.0);
        return price * (e.reclaimable() ? BOUNDS.reclaimablePrice() : 1);
    }
}
