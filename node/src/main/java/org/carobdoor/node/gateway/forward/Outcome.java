package org.carobdoor.node.gateway.forward;

import java.util.Locale;

/** How a request ended for its caller. */
public enum Outcome {
    /** The endpoint's whole answer was passed on. */
    ANSWERED,

    /** This node refused the request; it was not run. */
    REFUSED,

    /** The request was sent and its outcome is not known, or its answer was lost. */
    FAILED,

    /** The deadline of the caller or of the route passed. */
    TIMED_OUT,

    /** A stream was cut off after it had begun. */
    CUT_OFF,

    /** The caller closed its connection. */
    CALLER_GONE;

    /** Returns the name for logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
