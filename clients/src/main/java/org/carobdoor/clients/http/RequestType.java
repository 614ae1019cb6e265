package org.carobdoor.clients.http;

import org.carobdoor.FailureKind;

/** Whether a request changes state on the server. */
public enum RequestType {
    /** The request only reads, so a failed call had no effect. */
    READ(FailureKind.NOT_DONE),
    /** The request writes, so a call without a response may have had an effect. */
    WRITE(FailureKind.UNKNOWN);

    private final FailureKind failureKindWithoutResponse;

    RequestType(FailureKind whenUnanswered) {
        this.failureKindWithoutResponse = whenUnanswered;
    }

    /** Returns the failure kind if the request may have been sent and no valid response arrived. */
    public FailureKind failureKindWithoutResponse() {
        return failureKindWithoutResponse;
    }
}
