package org.carobdoor.node.http;

import java.time.Instant;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.node.admission.GateDecision;
import org.carobdoor.node.admission.RequestGate;
import org.carobdoor.node.admission.RequestScope;

/** Converts rejections by admission control into problem documents. */
final class AdmissionChecks {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private AdmissionChecks() {}

    /**
     * Asks {@code gate} to admit a request for {@code entry}.
     *
     * @throws ProblemException if the request is rejected; it was not run
     */
    static RequestScope admit(RequestGate gate, CatalogueEntry entry, Instant deadline)
            throws InterruptedException {
        return switch (gate.enter(entry, deadline)) {
            case GateDecision.Open(var scope) -> scope;
            case GateDecision.Shed(var detail) ->
                    throw new ProblemException(
                            Problem.notRun(SERVICE_UNAVAILABLE, "overloaded", detail));
            case GateDecision.LimitReached(var limit) ->
                    throw new ProblemException(
                            Problem.notRun(
                                    TOO_MANY_REQUESTS,
                                    "limit-reached",
                                    "entry \""
                                            + entry.name()
                                            + "\" has reached its limit "
                                            + limit));
        };
    }
}
