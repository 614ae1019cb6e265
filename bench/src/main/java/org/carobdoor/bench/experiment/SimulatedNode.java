package org.carobdoor.bench.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.NodeId;
import org.carobdoor.internal.admission.Admission;
import org.carobdoor.internal.admission.AdmissionDecision;
import org.carobdoor.internal.admission.AdmissionSettings;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.internal.routing.AffinityRouter;
import org.carobdoor.internal.routing.EndpointSnapshot;
import org.carobdoor.internal.routing.EndpointView;
import org.carobdoor.internal.routing.ExportPlan;
import org.carobdoor.internal.routing.LeastOutstandingRouter;
import org.carobdoor.internal.routing.PrefixCacheModel;
import org.carobdoor.internal.routing.RandomRouter;
import org.carobdoor.internal.routing.RoundRobinRouter;
import org.carobdoor.internal.routing.RouteRequest;
import org.carobdoor.internal.routing.Router;
import org.carobdoor.internal.routing.RoutingWeights;
import org.carobdoor.internal.routing.ViewLoads;
import org.carobdoor.internal.routing.ViewSettings;

/** The decision code of one node, with its streams. */
final class SimulatedNode {
    private static final double EVACUATE_AGAIN_MILLIS = 250;

    final NodeId id;
    final AvailabilityZone zone;
    final Timeline time;
    final FakePlatform platform;
    final Scenario scenario;
    final EngineModel model;
    final Outcome outcome;
    final EndpointView view;
    final PrefixCacheModel cache = PrefixCacheModel.create(600);
    final Admission admission;
    private final ViewLoads loads;
    private double lowerAdmittedAt = Double.NEGATIVE_INFINITY;
    private final Router router;
    private final Map<EndpointId, Set<Stream>> streams = new HashMap<>();

    SimulatedNode(
            int number,
            Timeline time,
            FakePlatform platform,
            Scenario scenario,
            EngineModel model,
            Outcome outcome,
            SplittableRandom random) {
        this.id = new NodeId("node-" + number);
        this.zone = new AvailabilityZone(String.valueOf("abc".charAt(number % 3)));
        this.time = time;
        this.platform = platform;
        this.scenario = scenario;
        this.model = model;
        this.outcome = outcome;
        this.view = EndpointView.create(ViewSettings.defaults(), time);
        this.admission = Admission.create(AdmissionSettings.defaults(), time);
        this.loads = ViewLoads.create(view, time);
        this.router =
                switch (scenario.routing()) {
                    case AFFINITY ->
                            AffinityRouter.create(
                                    view, cache, RoutingWeights.defaults(), time, random);
                    case LEAST_OUTSTANDING -> LeastOutstandingRouter.create(view, time, random);
                    case ROUND_ROBIN -> RoundRobinRouter.create(view, time, random);
                    case RANDOM -> RandomRouter.create(view, time, random);
                };
        view.onChange(cache::onState);
        view.onChange(this::onState);
    }

    void accept(Workload.Spec spec) {
        int priority = spec.kind().entry().priority();
        outcome.offered[priority]++;
        if (scenario.admits() && !admits(priority)) {
            outcome.shed[priority]++;
            if (priority == 1 && (admits(2) || admits(3) || admits(4))) {
                outcome.wronglyShed++;
            }
            if (priority == 1 && time.nowMillis() - lowerAdmittedAt < 1_000) {
                outcome.shedNearLower++;
            }
            return;
        }
        if (priority > 1) {
            lowerAdmittedAt = time.nowMillis();
        }
        new Stream(this, spec).start();
    }

    private boolean admits(int priority) {
        return admission.admit(List.of("model/m"), priority, loads)
                instanceof AdmissionDecision.Admitted;
    }

    Router router() {
        return router;
    }

    RouteRequest request(Workload.Spec spec, int promptTokens, int expectedTokens) {
        return RouteRequest.of(
                spec.kind().entry(), spec.prefix(), promptTokens, expectedTokens, zone);
    }

    Set<Stream> streamsAt(EndpointId endpoint) {
        return streams.computeIfAbsent(endpoint, k -> new LinkedHashSet<>());
    }

    private void onState(EndpointSnapshot image) {
        if (image.record().state() == EndpointState.LEAVING
                && scenario.resumption() == Scenario.Resumption.EXPORT) {
            evacuate(image.id(), image.record().reclaimAt().orElse(Instant.MAX));
        }
    }

    /**
     * Exports what can be exported before the reclaim, and looks again for streams that were still
     * at their prompt. The engine refuses what the exports of all nodes together leave no time for.
     */
    private void evacuate(EndpointId endpoint, Instant reclaimAt) {
        if (!time.instant().isBefore(reclaimAt)) {
            return;
        }
        Map<String, Stream> byId = new HashMap<>();
        List<ExportPlan.Running> running = new ArrayList<>();
        for (Stream s : streamsAt(endpoint)) {
            if (s.isExportable()) {
                byId.put(s.id(), s);
                running.add(new ExportPlan.Running(s.id(), s.heldTokens(), s.expectedEnd()));
            }
        }
        List<String> exports =
                ExportPlan.exports(
                        running,
                        time.instant(),
                        reclaimAt,
                        model.exportTokensPerSecond(),
                        Duration.ofMillis(Math.round(model.exportMillis())));
        for (String stream : exports) {
            Objects.requireNonNull(byId.get(stream)).export(reclaimAt);
        }
        time.after(EVACUATE_AGAIN_MILLIS, () -> evacuate(endpoint, reclaimAt));
    }
}
