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
 * Decides, before a request is accepted, whether to admit it: first by available capacity and
 * priority, then by the limits of its entry.
 *
 * <pre>{@code
 * switch (controller.admit(entry, deadline)) {
 *     case AdmissionResult.Admitted(var accounting) -> serve(accounting);
 *     case AdmissionResult.Shed(var detail) -> reject(503);
 *     case AdmissionResult.LimitReached(var limit) -> reject(429);
 * }
 * }</pre>
 */
public final class AdmissionController {
    private final Admission admission;
    private final PoolLoads loads;
    private final LimitService limits;
    private final BurnRateTracker burn;
    private final NodeMetrics metrics;
    private final InstantSource clock;

    /** Creates a controller. */
    public AdmissionController(
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

    /** Decides on the admission of one request for {@code entry}. */
    public AdmissionResult admit(CatalogueEntry entry, Instant deadline)
            throws InterruptedException {
        AdmissionDecision decision =
                admission.admit(RouteRequest.targetsOf(entry), entry.priority(), loads);
        if (decision instanceof AdmissionDecision.Shed(var reason)) {
            return shed(entry, reason);
        }
        Optional<LimitKind> reachedLimit = limits.start(entry.name(), deadline);
        if (reachedLimit.isPresent()) {
            burn.onFinished(entry, Optional.of(MissCause.LIMIT), 0, 0);
            metrics.event("limit_reached", 1);
            return new AdmissionResult.LimitReached(reachedLimit.get().label());
        }
        return new AdmissionResult.Admitted(
                new RequestAccounting(entry, limits, burn, admission, metrics, clock));
    }

    private AdmissionResult shed(CatalogueEntry entry, String reason) {
        burn.onFinished(entry, Optional.of(MissCause.SHED), 0, 0);
        metrics.event("shed", 1);
        return new AdmissionResult.Shed(reason);
    }
}
