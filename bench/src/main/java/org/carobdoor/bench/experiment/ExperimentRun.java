package org.carobdoor.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.internal.routing.CacheChange;
import org.carobdoor.internal.routing.EngineLoad;
import org.carobdoor.message.LoadReport;

/** Runs a scenario with one seed. */
final class ExperimentRun {
    /** The time to order and start the fleet before the first request. */
    private static final double WARM_UP_MILLIS = 300_000;

    private static final double PEER_REPORT_MILLIS = 250;
    private static final double ENGINE_REPORT_MILLIS = 1_000;
    private static final double ENGINE_REPORT_DELAY_MILLIS = 300;
    private static final double CACHE_EVENT_LOSS = 0.05;

    private final Scenario scenario;
    private final EventScheduler scheduler = new EventScheduler();
    private final RunMetrics metrics = new RunMetrics();
    private final EngineModel model = EngineModel.defaults();
    private final FakePlatform platform;
    private final List<SimulatedNode> nodes = new ArrayList<>();

    /**
     * A separate generator, so that a policy that draws more numbers does not change the workload.
     */
    private final SplittableRandom arrivals;

    private final SplittableRandom faults;
    private long requestCount;

    private ExperimentRun(Scenario scenario, long seed) {
        this.scenario = scenario;
        SplittableRandom random = new SplittableRandom(seed);
        arrivals = random.split();
        faults = random.split();
        platform = new FakePlatform(scheduler, random.split(), scenario, model);
        for (int i = 0; i < scenario.nodes(); i++) {
            nodes.add(
                    new SimulatedNode(
                            i, scheduler, platform, scenario, model, metrics, random.split()));
        }
    }

    static RunMetrics execute(Scenario scenario, long seed) {
        return new ExperimentRun(scenario, seed).run();
    }

    private RunMetrics run() {
        scheduler.scheduleRepeating(200, this::publishRecords);
        scheduler.scheduleRepeating(PEER_REPORT_MILLIS, this::publishLoadReports);
        scheduler.scheduleRepeating(ENGINE_REPORT_MILLIS, this::publishEngineLoads);
        scheduler.runUntil(WARM_UP_MILLIS);
        platform.startMetering();
        long ordersBefore = platform.orders;
        scenario.waves()
                .forEach(
                        w ->
                                scheduler.schedule(
                                        w.atSeconds() * 1_000, () -> platform.startReclaimWave(w)));
        scheduleArrival(WARM_UP_MILLIS + scenario.seconds() * 1_000.0);
        scheduler.runUntil(WARM_UP_MILLIS + scenario.seconds() * 1_000.0);
        metrics.cost = platform.cost;
        metrics.orders = platform.orders - ordersBefore;
        // Lets accepted requests finish, which takes at most about two minutes without new ones.
        scheduler.runUntil(WARM_UP_MILLIS + scenario.seconds() * 1_000.0 + 120_000);
        nodes.forEach(n -> metrics.sendsAfterBound += n.view.sendsAfterBound());
        metrics.computePercentiles();
        return metrics;
    }

    private void scheduleArrival(double until) {
        double gap =
                -Math.log(1 - arrivals.nextDouble())
                        * 1_000
                        / scenario.workload().requestsPerSecond();
        scheduler.schedule(
                gap,
                () -> {
                    if (scheduler.nowMillis() < until) {
                        int node = arrivals.nextInt(nodes.size());
                        nodes.get(node).accept(scenario.workload().next(++requestCount, arrivals));
                        scheduleArrival(until);
                    }
                });
    }

    /**
     * Delivers new endpoint records to each node with its own delay. With the interval of 200 ms, a
     * record arrives within about 600 ms.
     */
    private void publishRecords() {
        for (FakePlatform.Vm vm : platform.vms()) {
            for (SimulatedNode node : nodes) {
                var record = vm.record();
                boolean isNewer =
                        node.view
                                .find(vm.id)
                                .map(i -> i.record().state().compareTo(record.state()) < 0)
                                .orElse(true);
                if (isNewer) {
                    scheduler.schedule(faults.nextInt(400), () -> node.view.apply(record));
                }
            }
        }
    }

    private void publishLoadReports() {
        for (SimulatedNode from : nodes) {
            LoadReport report = from.view.takeLoadReport(64);
            for (SimulatedNode to : nodes) {
                if (from != to) {
                    scheduler.schedule(
                            5 + faults.nextInt(50), () -> to.view.onPeerLoad(from.id, report));
                }
            }
        }
    }

    private void publishEngineLoads() {
        for (FakePlatform.Vm vm : platform.vms()) {
            if (vm.state != EndpointState.LIVE) {
                continue;
            }
            EndpointId id = vm.id;
            EngineLoad load =
                    new EngineLoad(
                            vm.engine.outstanding(), vm.engine.requests(), scheduler.instant());
            List<CacheChange> changes = vm.engine.takeChanges();
            for (SimulatedNode node : nodes) {
                double delayMillis = ENGINE_REPORT_DELAY_MILLIS + faults.nextInt(300);
                scheduler.schedule(delayMillis, () -> node.view.onEngineLoad(id, load));
                if (faults.nextDouble() >= CACHE_EVENT_LOSS) {
                    scheduler.schedule(delayMillis, () -> node.cache.onEvents(id, changes));
                }
            }
        }
    }
}
