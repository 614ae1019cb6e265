package org.carobdoor.node.admission;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.carobdoor.internal.admission.Admission;
import org.carobdoor.internal.admission.AdmissionDecision;
import org.carobdoor.internal.admission.PoolLoads;
import org.carobdoor.internal.burn.BurnRateTracker;
import org.carobdoor.internal.burn.MissCause;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.limits.LimitKind;
import org.carobdoor.internal.routing.RouteRequest;
import org.carobdoor.node.limits.LimitService;
import org.carobdoor.node.metrics.NodeMetrics;

/**
 * Decides before acceptance whether a request is served: by capacity and class, then by the limits
 * of its entry.
 *
 * <pre>{@code
 * switch (gate.enter(entry, deadline)) {
 *     case GateDecision.Open(var scope) -> serve(scope);
 *     case GateDecision.Shed(var detail) -> refuse(503);
 *     case GateDecision.LimitReached(var limit) -> refuse(429);
 * }
 * }</pre>
 */
public final class RequestGate {
    private final Admission admission;
    private final PoolLoads loads;
    private final LimitService limits;
    private final BurnRateTracker burn;
    private final NodeMetrics metrics;
    private final InstantSource clock;

    /** Creates a gate. */
    public RequestGate(
            Admission admission,
            PoolLoads loads,
            LimitService limits,
            BurnRateTracker burn,
            NodeMetrics metrics,
            InstantSource clock) {
        this.admission = admission;
        this.loads = loads;
        this.limits = limits;
        this.burn = burn;
        this.metrics = metrics;
        this.clock = clock;
    }

    /** Decides on one request. */
    public GateDecision enter(CatalogueEntry entry, Instant deadline) throws InterruptedException {
        AdmissionDecision decision =
                admission.admit(RouteRequest.targetsOf(entry), entry.priority(), loads);
        if (decision instanceof AdmissionDecision.Shed(var reason)) {
            return shed(entry, reason);
        }
        Optional<LimitKind> refusedBy = limits.start(entry.name(), deadline);
        if (refusedBy.isPresent()) {
            burn.onFinished(entry, Optional.of(MissCause.LIMIT), 0, 0);
            metrics.event("limit_reached", 1);
            return new GateDecision.LimitReached(refusedBy.get().label());
        }
        return new GateDecision.Open(
                new RequestScope(entry, limits, burn, admission, metrics, clock));
    }

    private GateDecision shed(CatalogueEntry entry, String reason) {
        burn.onFinished(entry, Optional.of(MissCause.SHED), 0, 0);
        metrics.event("shed", 1);
        return new GateDecision.Shed(reason);
    }
}
