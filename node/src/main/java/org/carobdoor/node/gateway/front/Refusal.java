package org.carobdoor.node.gateway.front;

import java.util.Locale;
import org.carobdoor.RunState;

/**
 * An answer of this node's own.
 *
 * @param status the HTTP status; 408, 421, 429 and 503 are only used if the request was not run
 * @param cause why, a short name for logs and callers
 * @param runState what is known about whether the request was run
 * @param retryAfterMillis when the caller may try again; 0 if nothing is known
 */
public record Refusal(int status, String cause, RunState runState, long retryAfterMillis) {

    /** The request does not fit the protocol or the configuration; a repeat would not either. */
    public static Refusal rejected(int status, String cause) {
        return new Refusal(status, cause, RunState.NOT_RUN, 0);
    }

    /** The request was not run and may be tried again. */
    public static Refusal unavailable(String cause, long retryAfterMillis) {
        return new Refusal(503, cause, RunState.NOT_RUN, retryAfterMillis);
    }

    /** The account has used up its quota. */
    public static Refusal overQuota(long retryAfterMillis) {
        return new Refusal(429, "quota", RunState.NOT_RUN, retryAfterMillis);
    }

    /** The request was sent and its outcome is not known. */
    public static Refusal failed(int status, String cause) {
        return new Refusal(status, cause, RunState.UNKNOWN, 0);
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
