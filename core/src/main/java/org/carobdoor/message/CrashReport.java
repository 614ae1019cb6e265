package org.carobdoor.message;

import java.util.List;

/**
 * Reports that an endpoint crashed while requests of the sender waited for its answer to begin.
 *
 * @param crash the crash
 * @param requests the features of these requests; one of them may be the cause
 */
public record CrashReport(CrashId crash, List<RequestFeatures> requests)
        implements QuarantineMessage {

    /** Copies the list. */
    public CrashReport {
        requests = List.copyOf(requests);
    }
}
