package org.carobdoor.node.admission;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.carobdoor.internal.admission.Admission;
import org.carobdoor.internal.admission.Decision;
import org.carobdoor.internal.admission.PoolLoads;
import org.carobdoor.internal.burn.BurnAccount;
import org.carobdoor.internal.burn.Cause;
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
 *     case AdmissionDecision.Admitted(var accounting) -> serve(accounting);
 *     case AdmissionDecision.Shed(var detail) -> reject(503);
 *     case AdmissionDecision.LimitReached(var limit) -> reject(429);
 * }
 * }</pre>
 */
public final class AdmissionController {
    private final Admission admission;
    private final PoolLoads loads;
    private final LimitService limits;
    private final BurnAccount burn;
    private final NodeMetrics metrics;
    private final InstantSource clock;

    /** Creates a controller. */
    public AdmissionController(
            Admission admission,
            PoolLoads loads,
            LimitService limits,
            BurnAccount burn,
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
    public AdmissionDecision admit(CatalogueEntry entry, Instant deadline)
            throws InterruptedException {
        Decision decision = admission.admit(RouteRequest.targetsOf(entry), entry.priority(), loads);
        if (decision instanceof Decision.Shed(var reason)) {
            return shed(entry, reason);
        }
        Optional<LimitKind> reachedLimit = limits.start(entry.name(), deadline);
        if (reachedLimit.isPresent()) {
            burn.onFinished(entry, Optional.of(Cause.LIMIT), 0, 0);
            metrics.event("limit_reached", 1);
            return new AdmissionDecision.LimitReached(reachedLimit.get().label());
        }
        return new AdmissionDecision.Admitted(
                new RequestAccounting(entry, limits, burn, admission, metrics, clock));
    }

    private AdmissionDecision shed(CatalogueEntry entry, String reason) {
        burn.onFinished(entry, Optional.of(Cause.SHED), 0, 0);
        metrics.event("shed", 1);
        return new AdmissionDecision.Shed(reason);
    }
}
