package org.carobdoor.node.gateway.front;

import java.util.Locale;
import org.carobdoor.RunState;

/**
 * An error response of this node.
 *
 * @param status the HTTP status; 408, 421, 429 and 503 are only used if the request was not run
 * @param cause a short name of the reason, for logs and callers
 * @param runState whether the request was run, as far as known
 * @param retryAfterMillis the time after which the caller may retry; 0 if unknown
 */
public record ErrorResponse(int status, String cause, RunState runState, long retryAfterMillis) {

    /** Cause of a refusal because requests like this one crash endpoints. */
    public static final String QUARANTINED = "quarantined";

    /** The request does not fit the protocol or the configuration; a retry would fail too. */
    public static ErrorResponse rejected(int status, String cause) {
        return new ErrorResponse(status, cause, RunState.NOT_RUN, 0);
    }

    /** The request was not run and may be retried. */
    public static ErrorResponse unavailable(String cause, long retryAfterMillis) {
        return new ErrorResponse(503, cause, RunState.NOT_RUN, retryAfterMillis);
    }

    /** The account has used up its quota. */
    public static ErrorResponse quotaExceeded(long retryAfterMillis) {
        return new ErrorResponse(429, "quota", RunState.NOT_RUN, retryAfterMillis);
    }

    /** The request was sent and its outcome is unknown. */
    public static ErrorResponse outcomeUnknown(int status, String cause) {
        return new ErrorResponse(status, cause, RunState.UNKNOWN, 0);
    }

    /** Returns the body, a problem document. */
    String json() {
        return "{\"status\":"
                + status
                + ",\"cause\":\""
                + cause
                + "\",\"run_state\":\""
                + runState.name().toLowerCase(Locale.ROOT)
                + "\"}";
    }
}
