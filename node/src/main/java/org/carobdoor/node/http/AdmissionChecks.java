package org.carobdoor.node.http;

import java.time.Instant;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.node.admission.AdmissionController;
import org.carobdoor.node.admission.AdmissionResult;
import org.carobdoor.node.admission.RequestAccounting;

/** Converts rejections by admission control into problem documents. */
final class AdmissionChecks {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private AdmissionChecks() {}

    /**
     * Asks {@code admission} to admit a request for {@code entry}.
     *
     * @throws ProblemException if the request is rejected; it was not run
     */
    static RequestAccounting admit(
            AdmissionController admission, CatalogueEntry entry, Instant deadline)
            throws InterruptedException {
        return switch (admission.admit(entry, deadline)) {
            case AdmissionResult.Admitted(var accounting) -> accounting;
            case AdmissionResult.Shed(var detail) ->
                    throw new ProblemException(
                            Problem.notRun(SERVICE_UNAVAILABLE, "overloaded", detail));
            case AdmissionResult.LimitReached(var limit) ->
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
