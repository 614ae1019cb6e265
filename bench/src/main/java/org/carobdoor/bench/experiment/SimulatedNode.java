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

/** Runs the decision code of one node and tracks its requests. */
final class SimulatedNode {
    private static final double EXPORT_RETRY_MILLIS = 250;

    final NodeId id;
    final AvailabilityZone zone;
    final EventScheduler scheduler;
    final FakePlatform platform;
    final Scenario scenario;
    final EngineModel model;
    final RunMetrics metrics;
    final EndpointView view;
    final PrefixCacheModel cache = PrefixCacheModel.create(600);
    final Admission admission;
    private final ViewLoads loads;
    private double lowerClassAdmittedAt = Double.NEGATIVE_INFINITY;
    private final Router router;
    private final Map<EndpointId, Set<SimulatedRequest>> requests = new HashMap<>();

    SimulatedNode(
            int number,
            EventScheduler scheduler,
            FakePlatform platform,
            Scenario scenario,
            EngineModel model,
            RunMetrics metrics,
            SplittableRandom random) {
        this.id = new NodeId("node-" + number);
        this.zone = new AvailabilityZone(String.valueOf("abc".charAt(number % 3)));
        this.scheduler = scheduler;
        this.platform = platform;
        this.scenario = scenario;
        this.model = model;
        this.metrics = metrics;
        this.view = EndpointView.create(ViewSettings.defaults(), scheduler);
        this.admission = Admission.create(AdmissionSettings.defaults(), scheduler);
        this.loads = ViewLoads.create(view, scheduler);
        this.router =
                switch (scenario.routing()) {
                    case AFFINITY ->
                            AffinityRouter.create(
                                    view, cache, RoutingWeights.defaults(), scheduler, random);
                    case LEAST_OUTSTANDING ->
                            LeastOutstandingRouter.create(view, scheduler, random);
                    case ROUND_ROBIN -> RoundRobinRouter.create(view, scheduler, random);
                    case RANDOM -> RandomRouter.create(view, scheduler, random);
                };
        view.onChange(cache::onState);
        view.onChange(this::onState);
    }

    void accept(Workload.RequestSpec spec) {
        int priority = spec.kind().entry().priority();
        metrics.offered[priority]++;
        if (scenario.admissionEnabled() && !admits(priority)) {
            metrics.shed[priority]++;
            if (priority == 1 && (admits(2) || admits(3) || admits(4))) {
                metrics.priorityInversions++;
            }
            if (priority == 1 && scheduler.nowMillis() - lowerClassAdmittedAt < 1_000) {
                metrics.shedAfterLowerAdmitted++;
            }
            return;
        }
        if (priority > 1) {
            lowerClassAdmittedAt = scheduler.nowMillis();
        }
        new SimulatedRequest(this, spec).start();
    }

    private boolean admits(int priority) {
        return admission.admit(List.of("model/m"), priority, loads)
                instanceof AdmissionDecision.Admitted;
    }

    Router router() {
        return router;
    }

    RouteRequest request(Workload.RequestSpec spec, int promptTokens, int expectedTokens) {
        return RouteRequest.of(
                spec.kind().entry(), spec.prefix(), promptTokens, expectedTokens, zone);
    }

    Set<SimulatedRequest> requestsAt(EndpointId endpoint) {
        return requests.computeIfAbsent(endpoint, k -> new LinkedHashSet<>());
    }

    private void onState(EndpointSnapshot snapshot) {
        if (snapshot.record().state() == EndpointState.LEAVING
                && scenario.resumption() == Scenario.Resumption.EXPORT) {
            exportRequests(snapshot.id(), snapshot.record().reclaimAt().orElse(Instant.MAX));
        }
    }

    /**
     * Exports the requests that can be exported before the reclaim, and retries for those that were
     * still processing their prompt. The engine refuses an export if the exports of all nodes
     * together leave no time for it.
     */
    private void exportRequests(EndpointId endpoint, Instant reclaimAt) {
        if (!scheduler.instant().isBefore(reclaimAt)) {
            return;
        }
        Map<String, SimulatedRequest> byId = new HashMap<>();
        List<ExportPlan.Running> running = new ArrayList<>();
        for (SimulatedRequest r : requestsAt(endpoint)) {
            if (r.isExportable()) {
                byId.put(r.id(), r);
                running.add(new ExportPlan.Running(r.id(), r.contextTokens(), r.expectedEnd()));
            }
        }
        List<String> exports =
                ExportPlan.exports(
                        running,
                        scheduler.instant(),
                        reclaimAt,
                        model.exportTokensPerSecond(),
                        Duration.ofMillis(Math.round(model.exportMillis())));
        for (String id : exports) {
            Objects.requireNonNull(byId.get(id)).export(reclaimAt);
        }
        scheduler.schedule(EXPORT_RETRY_MILLIS, () -> exportRequests(endpoint, reclaimAt));
    }
}
