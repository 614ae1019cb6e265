package org.carobdoor.node.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.deployment.Configuration;
import org.carobdoor.internal.deployment.FleetBounds;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.fleet.EngineFleetPolicy;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.node.gateway.forward.ForwardingState;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.platform.CloudCalls;
import org.carobdoor.platform.HttpCall;
import org.carobdoor.platform.HttpReply;

/** Orders endpoints while this node holds the duties. Belongs to the event loop. */
final class FleetDriver {
    /** Gives the fencing number under which orders are sent. */
    interface Sender {
        /** Sends a call of the holder and reports a reply that another holder has taken over. */
        void send(HttpCall call, PlatformClient.Receiver receiver);

        /** Returns the fencing number. */
        long fence();
    }

    /** Weight of the newest half second in the mean of the work that arrives. */
    private static final double NEWEST_WEIGHT = 0.12;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ForwardingState state;
    private final Sender sender;
    private final String node;
    private final DecisionLog log;
    private final Map<String, EngineFleetPolicy> policies = new HashMap<>();
    private final Map<String, Double> workRate = new HashMap<>();
    private final Map<String, Map<String, Long>> workByRun = new HashMap<>();
    private final Map<String, Double> newWork = new HashMap<>();
    private final Map<String, Integer> initialCount = new HashMap<>();
    private long lastPlanNanos = System.nanoTime();

    private static final int PLANS_PER_LINE = 4;

    /** Endpoints are listed one by one after a start; ordering before that would end the late. */
    private static final long OBSERVE_NANOS = 4_000_000_000L;

    /** Work counts as measured once it has arrived for this many plans. */
    private static final int MEASURED_PLANS = 8;

    /**
     * Engines given up with each plan while the load falls: each takes its cached prompts along.
     */
    private static final double DECLINE = 0.1;

    /** Share of the engines of the last peak that are needed even in a lull. */
    private static final double LULL_SHARE = 0.75;

    private final Map<String, Double> neededHeld = new HashMap<>();
    private int plansWithWork;
    private long firstPlanNanos;
    private int plans;

    FleetDriver(ForwardingState state, Sender sender, String node, DecisionLog log) {
        this.state = state;
        this.sender = sender;
        this.node = node;
        this.log = log;
    }

    /** Notes the engine time of the requests that a run of a node has sent since its start. */
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
        double seconds = (now - lastPlanNanos) / NANOS_PER_SECOND;
        lastPlanNanos = now;
        if (seconds <= 0 || state.configuration().isEmpty()) {
            return;
        }
        Configuration c = state.configuration().get();
        for (Service s : c.services()) {
            if (s.fleet().isEmpty()) {
                continue;
            }
            double rate = newWork.getOrDefault(s.name(), 0.0) / seconds;
            plansWithWork += rate > 0 ? 1 : 0;
            // The mean of all seconds with work at first: the quiet before would hide the load.
            double weight = Math.max(NEWEST_WEIGHT, 1.0 / Math.max(1, plansWithWork));
            double mean = workRate.getOrDefault(s.name(), rate);
            workRate.put(s.name(), mean + weight * (rate - mean));
            if (holder) {
                plan(s, s.fleet().get(), now);
            }
        }
        newWork.clear();
    }

    private void plan(Service service, FleetBounds bounds, long now) {
        Map<AvailabilityZone, EngineFleetPolicy.ZoneCount> zones = new TreeMap<>();
        bounds.zonePrices()
                .keySet()
                .forEach(z -> zones.put(z, new EngineFleetPolicy.ZoneCount(0, 0)));
        int lasting = 0;
        for (EndpointLoad e : state.endpoints().ofService(service.name())) {
            if (e.entry().accepting() && !e.health().isUnreachable(now)) {
                boolean spot = e.entry().reclaimable();
                lasting += spot ? 0 : 1;
                zones.merge(
                        e.entry().zone(),
                        new EngineFleetPolicy.ZoneCount(spot ? 0 : 1, spot ? 1 : 0),
                        (a, b) ->
                                new EngineFleetPolicy.ZoneCount(
                                        a.lasting() + b.lasting(),
                                        a.reclaimable() + b.reclaimable()));
            }
        }
        double work = workRate.getOrDefault(service.name(), 0.0);
        // Until requests arrive, the number that the operator started with is the best estimate.
        int initial = initialCount.merge(service.name(), lasting, Math::max);
        int measured =
                plansWithWork >= MEASURED_PLANS ? EngineFleetPolicy.enginesFor(work) : initial;
        double held = Math.max(measured, neededHeld.getOrDefault(service.name(), 0.0) - DECLINE);
        neededHeld.put(service.name(), held);
        int needed = (int) Math.ceil(held);
        int neededNow = Math.max(measured, (int) Math.ceil(held * LULL_SHARE));
        boolean managed = zones.values().stream().anyMatch(z -> z.reclaimable() > 0);
        if (firstPlanNanos == 0) {
            firstPlanNanos = now;
        }
        if (!managed && now - firstPlanNanos < OBSERVE_NANOS) {
            return;
        }
        if (++plans % PLANS_PER_LINE == 0) {
            log.line("fleet.state")
                    .add("service", service.name())
                    .add("zones", '"' + zones.toString() + '"')
                    .add("needed", needed)
                    .add("work_ms_per_s", Math.round(work))
                    .write();
        }
        EngineFleetPolicy policy =
                policies.computeIfAbsent(service.name(), s -> EngineFleetPolicy.create());
        for (EngineFleetPolicy.Target t : policy.plan(bounds, zones, needed, neededNow, now)) {
            order(service, bounds, policy, t, needed, work);
        }
    }

    private void order(
            Service service,
            FleetBounds bounds,
            EngineFleetPolicy policy,
            EngineFleetPolicy.Target t,
            int needed,
            double work) {
        policy.ordered(t, bounds, System.nanoTime());
        long fence = sender.fence();
        HttpCall call =
                CloudCalls.scale(node, fence, service.name(), t.zone(), t.reclaimable(), t.count());
        sender.send(
                call,
                outcome -> {
                    int status =
                            outcome instanceof PlatformClient.Outcome.Replied(HttpReply r)
                                    ? r.status()
                                    : 0;
                    log.line("fleet.ordered")
                            .add("service", service.name())
                            .add("zone", t.zone())
                            .add("reclaimable", t.reclaimable())
                            .add("count", t.count())
                            .add("needed", needed)
                            .add("work_ms_per_s", Math.round(work))
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
