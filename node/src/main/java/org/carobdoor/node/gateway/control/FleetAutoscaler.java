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
import org.jspecify.annotations.Nullable;

/**
 * Measures the load of the services that can be scaled, and sets their number of endpoints while
 * this node holds the duties. Without the duties it follows the plan of the holder, so that it can
 * go on from there. Must be used on the event loop.
 */
final class FleetAutoscaler {
    /** Sends the cloud API calls of the duty holder. */
    interface Sender {
        /** Sends a call; the callback receives its outcome. */
        void send(HttpCall call, PlatformClient.Callback callback);

        /** Returns the fencing token of the current holding of the duties. */
        long fencingToken();
    }

    private static final int PLANS_PER_LOG_LINE = 4;
    private static final double NANOS_PER_SECOND = 1e9;

    private final ForwardingState state;
    private final Sender sender;
    private final String node;
    private final DecisionLog log;
    private final Map<String, EngineFleetPolicy> policies = new HashMap<>();
    private final Map<String, FleetDemand> demands = new HashMap<>();
    private final FleetMetrics metrics = new FleetMetrics();
    private final Map<String, Map<String, Long>> workMillisByRun = new HashMap<>();
    private final Map<String, Double> workSinceTick = new HashMap<>();
    private long lastTickNanos = System.nanoTime();
    private int planCount;
    private boolean wasHolder;

    FleetAutoscaler(ForwardingState state, Sender sender, String node, DecisionLog log) {
        this.state = state;
        this.sender = sender;
        this.node = node;
        this.log = log;
    }

    /**
     * Records the total engine time of the requests that a run of a node has received so far, for
     * the services for which it has changed.
     */
    void recordWork(String run, Map<String, Long> workMillis) {
        Map<String, Long> known = workMillisByRun.get(run);
        if (known == null) {
            workMillisByRun.put(run, new HashMap<>(workMillis));
            return;
        }
        workMillis.forEach(
                (service, ms) -> {
                    Long previous = known.put(service, ms);
                    long increase = ms - (previous == null ? 0 : previous);
                    workSinceTick.merge(service, (double) Math.max(0, increase), Double::sum);
                });
    }

    /** Returns what the last plans were based on. */
    FleetMetrics metrics() {
        return metrics;
    }

    /** Discards the recorded work of a run that has ended. */
    void removeRun(String run) {
        workMillisByRun.remove(run);
    }

    /** Updates the measured load; also scales the services if this node holds the duties. */
    void tick(boolean holder, String ownRun) {
        recordWork(ownRun, state.workMillis());
        long now = System.nanoTime();
        double seconds = (now - lastTickNanos) / NANOS_PER_SECOND;
        lastTickNanos = now;
        if (seconds <= 0 || state.configuration().isEmpty()) {
            return;
        }
        Configuration configuration = state.configuration().get();
        for (Service s : configuration.services()) {
            if (s.fleet().isPresent()) {
                boolean followed = EngineFleetPolicy.isFollowedByAll(s.engine());
                FleetDemand demand =
                        demands.computeIfAbsent(
                                s.name(),
                                n ->
                                        followed
                                                ? FleetDemand.create()
                                                : FleetDemand.withConstantDecline());
                demand.measured(workSinceTick.getOrDefault(s.name(), 0.0) / seconds);
                // The endpoints of both versions would look like too many.
                boolean orders = holder && !state.versions().selector().isRollingOut(s.name());
                if (orders || followed) {
                    plan(s, s.fleet().get(), demand, orders, now);
                }
            }
        }
        workSinceTick.clear();
        wasHolder = holder;
    }

    private void plan(
            Service service, FleetBounds bounds, FleetDemand demand, boolean holder, long now) {
        Map<AvailabilityZone, ZoneCount> zones = zoneCounts(service, bounds, now);
        int onDemand = zones.values().stream().mapToInt(ZoneCount::onDemand).sum();
        int reclaimable = zones.values().stream().mapToInt(ZoneCount::reclaimable).sum();
        Optional<FleetDemand.Engines> needed = demand.estimate(onDemand, reclaimable, now);
        metrics.update(service.name(), zones, needed, demand.workMillisPerSecond());
        EngineFleetPolicy policy =
                policies.computeIfAbsent(service.name(), s -> EngineFleetPolicy.create());
        if (holder && !wasHolder && EngineFleetPolicy.isFollowedByAll(service.engine())) {
            policy.takeOver(bounds, now);
        }
        if (holder && ++planCount % PLANS_PER_LOG_LINE == 0) {
            log.line("fleet.state")
                    .add("service", service.name())
                    .add("zones", '"' + zones.toString() + '"')
                    .add("needed", needed.map(FleetDemand.Engines::peak).orElse(-1))
                    .add("needed_now", needed.map(FleetDemand.Engines::now).orElse(-1))
                    .add("work_ms_per_s", Math.round(demand.workMillisPerSecond()))
                    .add("mode", policy.mode(now))
                    .write();
        }
        if (needed.isEmpty()) {
            return;
        }
        FleetDemand.Engines engines = needed.get();
        if (!holder) {
            policy.follow(bounds, zones, engines.peak(), engines.now(), now);
            return;
        }
        for (EngineFleetPolicy.Target t :
                policy.plan(bounds, zones, engines.peak(), engines.now(), now)) {
            requestScaling(service, bounds, policy, t, zones.get(t.zone()));
        }
    }

    private Map<AvailabilityZone, ZoneCount> zoneCounts(
            Service service, FleetBounds bounds, long now) {
        Map<AvailabilityZone, ZoneCount> zones = new TreeMap<>();
        bounds.zonePrices().keySet().forEach(z -> zones.put(z, new ZoneCount(0, 0)));
        for (EndpointLoad endpoint : state.endpoints().ofService(service.name())) {
            if (endpoint.entry().accepting()) {
                zones.merge(
                        endpoint.entry().zone(),
                        countOf(endpoint, now),
                        (x, y) ->
                                new ZoneCount(
                                        x.onDemand() + y.onDemand(),
                                        x.reclaimable() + y.reclaimable(),
                                        x.unreachable() + y.unreachable()));
            }
        }
        return zones;
    }

    private static ZoneCount countOf(EndpointLoad endpoint, long now) {
        boolean reachable = !endpoint.health().isUnreachable(now);
        if (!endpoint.entry().reclaimable()) {
            return new ZoneCount(reachable ? 1 : 0, 0);
        }
        return reachable ? new ZoneCount(0, 1) : new ZoneCount(0, 0, 1);
    }

    private void requestScaling(
            Service service,
            FleetBounds bounds,
            EngineFleetPolicy policy,
            EngineFleetPolicy.Target t,
            @Nullable ZoneCount present) {
        String mode = policy.mode(System.nanoTime());
        policy.ordered(t, bounds, System.nanoTime());
        long fencingToken = sender.fencingToken();
        HttpCall call =
                CloudCalls.scale(
                        node, fencingToken, service.name(), t.zone(), t.reclaimable(), t.count());
        sender.send(
                call,
                outcome -> {
                    int status = outcome.status();
                    log.line("fleet.ordered")
                            .add("service", service.name())
                            .add("zone", t.zone())
                            .add("reclaimable", t.reclaimable())
                            .add("count", t.count())
                            .add("present", '"' + String.valueOf(present) + '"')
                            .add("mode", mode)
                            .add("fence", fencingToken)
                            .add("status", status)
                            .write();
                    if (status == CloudCalls.STATUS_CONFLICT) {
                        policy.unavailable(t, System.nanoTime());
                    } else if (status != CloudCalls.STATUS_OK) {
                        policy.failed(t);
                    }
                });
    }
}
