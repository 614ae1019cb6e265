package org.carobdoor.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.internal.routing.CacheChange;
import org.carobdoor.internal.routing.EngineLoad;
import org.carobdoor.message.LoadReport;

/** One run of a scenario with one seed. */
final class Run {
    /** The fleet is ordered and started before the first request. */
    private static final double WARM_UP_MILLIS = 300_000;

    private static final double PEER_REPORT_MILLIS = 250;
    private static final double ENGINE_REPORT_MILLIS = 1_000;
    private static final double LATE_MILLIS = 300;
    private static final double EVENT_LOSS = 0.05;

    private final Scenario scenario;
    private final Timeline time = new Timeline();
    private final Outcome outcome = new Outcome();
    private final EngineModel model = EngineModel.defaults();
    private final FakePlatform platform;
    private final List<SimulatedNode> nodes = new ArrayList<>();

    /** Separate generators, so that a policy that draws more does not change the workload. */
    private final SplittableRandom arrivals;

    private final SplittableRandom faults;
    private long number;

    private Run(Scenario scenario, long seed) {
        this.scenario = scenario;
        SplittableRandom random = new SplittableRandom(seed);
        arrivals = random.split();
        faults = random.split();
        platform = new FakePlatform(time, random.split(), scenario, model);
        for (int i = 0; i < scenario.nodes(); i++) {
            nodes.add(
                    new SimulatedNode(i, time, platform, scenario, model, outcome, random.split()));
        }
    }

    static Outcome of(Scenario scenario, long seed) {
        return new Run(scenario, seed).run();
    }

    private Outcome run() {
        time.every(200, this::tellRecords);
        time.every(PEER_REPORT_MILLIS, this::tellPeers);
        time.every(ENGINE_REPORT_MILLIS, this::tellEngines);
        time.runUntil(WARM_UP_MILLIS);
        platform.startMetering();
        long ordersBefore = platform.orders;
        scenario.waves().forEach(w -> time.after(w.atSeconds() * 1_000, () -> platform.wave(w)));
        arrive(WARM_UP_MILLIS + scenario.seconds() * 1_000.0);
        time.runUntil(WARM_UP_MILLIS + scenario.seconds() * 1_000.0);
        outcome.cost = platform.cost;
        outcome.orders = platform.orders - ordersBefore;
        // Lets accepted requests finish; without new ones this takes at most about two minutes.
        time.runUntil(WARM_UP_MILLIS + scenario.seconds() * 1_000.0 + 120_000);
        nodes.forEach(n -> outcome.sendsAfterBound += n.view.sendsAfterBound());
        outcome.close();
        return outcome;
    }

    private void arrive(double until) {
        double gap =
                -Math.log(1 - arrivals.nextDouble())
                        * 1_000
                        / scenario.workload().requestsPerSecond();
        time.after(
                gap,
                () -> {
                    if (time.nowMillis() < until) {
                        int node = arrivals.nextInt(nodes.size());
                        nodes.get(node).accept(scenario.workload().next(++number, arrivals));
                        arrive(until);
                    }
                });
    }

    /** Notices and the list reach each node at a different time, within about 600 ms. */
    private void tellRecords() {
        for (FakePlatform.Vm vm : platform.vms()) {
            for (SimulatedNode node : nodes) {
                var record = vm.record();
                boolean isNews =
                        node.view
                                .find(vm.id)
                                .map(i -> i.record().state().compareTo(record.state()) < 0)
                                .orElse(true);
                if (isNews) {
                    time.after(faults.nextInt(400), () -> node.view.apply(record));
                }
            }
        }
    }

    private void tellPeers() {
        for (SimulatedNode from : nodes) {
            LoadReport report = from.view.takeLoadReport(64);
            for (SimulatedNode to : nodes) {
                if (from != to) {
                    time.after(5 + faults.nextInt(50), () -> to.view.onPeerLoad(from.id, report));
                }
            }
        }
    }

    private void tellEngines() {
        for (FakePlatform.Vm vm : platform.vms()) {
            if (vm.state != EndpointState.LIVE) {
                continue;
            }
            EndpointId id = vm.id;
            EngineLoad load =
                    new EngineLoad(vm.engine.outstanding(), vm.engine.requests(), time.instant());
            List<CacheChange> changes = vm.engine.takeChanges();
            for (SimulatedNode node : nodes) {
                double late = LATE_MILLIS + faults.nextInt(300);
                time.after(late, () -> node.view.onEngineLoad(id, load));
                if (faults.nextDouble() >= EVENT_LOSS) {
                    time.after(late, () -> node.cache.onEvents(id, changes));
                }
            }
        }
    }
}
