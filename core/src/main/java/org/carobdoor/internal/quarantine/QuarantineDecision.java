package org.carobdoor.internal.quarantine;

import org.carobdoor.message.QuarantineEntry;

/** Whether a request may be sent to an endpoint. */
public sealed interface QuarantineDecision {
    /** No quarantined pattern matches the request. */
    record Allowed() implements QuarantineDecision {}

    /** The request is the trial of the pattern that it matches: it may be sent to one endpoint. */
    record Trial(QuarantineEntry entry) implements QuarantineDecision {}

    /**
     * The request must not be sent.
     *
     * @param entry why it is refused
     * @param retryAfterMillis the time before which no matching request is served
     */
    record Refused(QuarantineEntry entry, long retryAfterMillis) implements QuarantineDecision {}
}
