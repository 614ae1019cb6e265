package org.carobdoor.bench.faults;

import java.util.List;

/**
 * A complete response that a caller received.
 *
 * @param status the status code
 * @param requestId the request id that it names; empty if none
 * @param stamp the endpoint's signature; empty if the node itself responded
 * @param body the body
 */
record CallerAnswer(int status, String requestId, String stamp, String body) {
    private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns whether the status states that the request has not run and never will. */
    boolean statesNotRun() {
        return NOT_RUN_STATUSES.contains(status);
    }
}
