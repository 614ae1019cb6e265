package org.carobdoor.node.http;

import java.time.Instant;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.node.admission.GateDecision;
import org.carobdoor.node.admission.RequestGate;
import org.carobdoor.node.admission.RequestScope;

/** Turns refusals of the request gate into problem documents. */
final class Gates {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private Gates() {}

    /**
     * Enters {@code gate}.
     *
     * @throws ProblemException if the request is refused; it was then not run
     */
    static RequestScope enter(RequestGate gate, CatalogueEntry entry, Instant deadline)
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
                                    "entry \"" + entry.name() + "\" has reached " + limit));
        };
    }
}
