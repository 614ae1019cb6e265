package org.carobdoor.clients.http;

import org.carobdoor.FailureKind;

/** Whether a request changes anything on the other side. */
public enum Effect {
    /** It reads, so a failed call had no effect. */
    READ(FailureKind.NOT_DONE),
    /** It writes, so a call without an answer may have had its effect. */
    WRITE(FailureKind.UNKNOWN);

    private final FailureKind whenUnanswered;

    Effect(FailureKind whenUnanswered) {
        this.whenUnanswered = whenUnanswered;
    }

    /** Returns what is known when the request may have been sent and no valid answer came. */
    public FailureKind whenUnanswered() {
        return whenUnanswered;
    }
}
