package org.carobdoor.node.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.deployment.Configuration;
import org.carobdoor.internal.deployment.FleetBounds;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.fleet.EngineFleetPolicy;
import org.carobdoor.internal.fleet.EngineFleetPolicy.ZoneCount;
import org.carobdoor.internal.fleet.FleetDemand;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.platform.CloudCalls;
import org.carobdoor.platform.HttpCall;

/**
 * Measures the load of the services whose endpoints may be ordered, and orders them while this node
 * holds the duties. Belongs to the event loop.
 */
final class FleetDriver {
    /** Sends the calls of the holder of the duties. */
    interface Sender {
        /** Sends a call; the receiver learns of the outcome. */
        void send(HttpCall call, PlatformClient.Receiver receiver);

        /** Returns the fencing number. */
        long fence();
    }

    private static final int PLANS_PER_LINE = 4;
    private static final double NANOS_PER_SECOND = 1e9;

    private final ForwardingState state;
    private final Sender sender;
    private final String node;
    private final DecisionLog log;
    private final Map<String, EngineFleetPolicy> policies = new HashMap<>();
    private final Map<String, FleetDemand> demands = new HashMap<>();
    private final Map<String, Map<String, Long>> workByRun = new HashMap<>();
    private final Map<String, Double> newWork = new HashMap<>();
    private long lastTickNanos = System.nanoTime();
    private int plans;

    FleetDriver(ForwardingState state, Sender sender, String node, DecisionLog log) {
        this.state = state;
        this.sender = sender;
        this.node = node;
        this.log = log;
    }

    /** Notes the engine time of the requests that a run of a node has received since its start. */
    void reportWork(String run, Map<String, Long> workMillis) {
        Map<String, Long> before = workByRun.put(run, workMillis);
        if (before == null) {
            return;
        }
        workMillis.forEach(
                (service, ms) -> {
                    long grown = ms - before.getOrDefault(service, 0L);
                    newWork.merge(service, (double) Math.max(0, grown), Double::sum);
                });
    }

    /** Forgets a run of a node. */
    void forget(String run) {
        workByRun.remove(run);
    }

    /** Updates the measured load; sends the orders that are due if this node holds the duties. */
    void tick(boolean holder, String ownRun) {
        reportWork(ownRun, state.workMillis());
        long now = System.nanoTime();
        double seconds = (now - lastTickNanos) / NANOS_PER_SECOND;
        lastTickNanos = now;
        if (seconds <= 0 || state.configuration().isEmpty()) {
            return;
        }
        Configuration c = state.configuration().get();
        for (Service s : c.services()) {
            if (s.fleet().isPresent()) {
                FleetDemand d = demands.computeIfAbsent(s.name(), n -> FleetDemand.create());
                d.measured(newWork.getOrDefault(s.name(), 0.0) / seconds);
                if (holder) {
                    plan(s, s.fleet().get(), d, now);
                }
            }
        }
        newWork.clear();
    }

    private void plan(Service service, FleetBounds bounds, FleetDemand demand, long now) {
        Map<AvailabilityZone, ZoneCount> zones = zoneCounts(service, bounds, now);
        int lasting = zones.values().stream().mapToInt(ZoneCount::onDemand).sum();
        int reclaimable = zones.values().stream().mapToInt(ZoneCount::reclaimable).sum();
        Optional<FleetDemand.Engines> needed = demand.estimate(lasting, reclaimable, now);
        if (++plans % PLANS_PER_LINE == 0) {
            log.line("fleet.state")
                    .add("service", service.name())
                    .add("zones", '"' + zones.toString() + '"')
                    .add("needed", needed.map(FleetDemand.Engines::peak).orElse(-1))
                    .add("needed_now", needed.map(FleetDemand.Engines::now).orElse(-1))
                    .add("work_ms_per_s", Math.round(demand.workMillisPerSecond()))
                    .write();
        }
        if (needed.isEmpty()) {
            return;
        }
        EngineFleetPolicy policy =
                policies.computeIfAbsent(service.name(), s -> EngineFleetPolicy.create());
        FleetDemand.Engines e = needed.get();
        for (EngineFleetPolicy.Target t : policy.plan(bounds, zones, e.peak(), e.now(), now)) {
            order(service, bounds, policy, t);
        }
    }

    private Map<AvailabilityZone, ZoneCount> zoneCounts(
            Service service, FleetBounds bounds, long now) {
        Map<AvailabilityZone, ZoneCount> zones = new TreeMap<>();
        bounds.zonePrices().keySet().forEach(z -> zones.put(z, new ZoneCount(0, 0)));
        for (EndpointLoad e : state.endpoints().ofService(service.name())) {
            if (e.entry().accepting() && !e.health().isUnreachable(now)) {
                boolean reclaimable = e.entry().reclaimable();
                zones.merge(
                        e.entry().zone(),
                        new ZoneCount(reclaimable ? 0 : 1, reclaimable ? 1 : 0),
                        (a, b) ->
                                new ZoneCount(
                                        a.onDemand() + b.onDemand(),
                                        a.reclaimable() + b.reclaimable()));
            }
        }
        return zones;
    }

    private void order(
            Service service,
            FleetBounds bounds,
            EngineFleetPolicy policy,
            EngineFleetPolicy.Target t) {
        policy.ordered(t, bounds, System.nanoTime());
        long fence = sender.fence();
        HttpCall call =
                CloudCalls.scale(node, fence, service.name(), t.zone(), t.reclaimable(), t.count());
        sender.send(
                call,
                outcome -> {
                    int status = outcome.status();
                    log.line("fleet.ordered")
                            .add("service", service.name())
                            .add("zone", t.zone())
                            .add("reclaimable", t.reclaimable())
                            .add("count", t.count())
                            .add("fence", fence)
                            .add("status", status)
                            .write();
                    if (status == CloudCalls.CONFLICT) {
                        policy.unavailable(t, System.nanoTime());
                    } else if (status != CloudCalls.DONE) {
                        policy.failed(t);
                    }
                });
    }
}
