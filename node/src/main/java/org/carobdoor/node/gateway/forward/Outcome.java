package org.carobdoor.node.gateway.forward;

import java.util.Locale;

/** The result of a request for its caller. */
public enum Outcome {
    /** The complete response of the endpoint was forwarded. */
    ANSWERED,

    /** This node refused the request; it was not run. */
    REFUSED,

    /** The request was sent and its outcome is unknown, or its response was lost. */
    FAILED,

    /** The deadline of the caller or of the route passed. */
    TIMED_OUT,

    /** A stream was aborted after it had started. */
    CUT_OFF,

    /** The caller closed its connection. */
    CALLER_GONE;

    /** Returns the name used in logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
