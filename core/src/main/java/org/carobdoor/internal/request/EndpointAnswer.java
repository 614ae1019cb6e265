package org.carobdoor.internal.request;

import java.util.OptionalLong;
import org.carobdoor.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * The head of an endpoint's answer.
 *
 * @param status the HTTP status
 * @param requestId the request that it answers, if it names one
 * @param notExecuted whether it states that the request was not and will not be run
 * @param signed whether it carries the signature of the endpoint
 * @param encoded whether the body is encoded, and so differs from the plain body of the endpoint
 * @param closes whether the endpoint closes the connection after it
 * @param leaving whether the endpoint says in it that it is leaving
 * @param endpoint the id of the endpoint that gave it, if it names one
 * @param keepAliveMillis how long the endpoint keeps an idle connection open, if it says so
 */
public record EndpointAnswer(
        int status,
        @Nullable String requestId,
        boolean notExecuted,
        boolean signed,
        boolean encoded,
        boolean closes,
        boolean leaving,
        @Nullable String endpoint,
        OptionalLong keepAliveMillis) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int MISDIRECTED = 421;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Returns whether the request succeeded. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /** Returns whether the endpoint failed. */
    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }

    /** Returns whether another endpoint than the intended one has answered, without running it. */
    public boolean isMisdirected() {
        return status == MISDIRECTED;
    }

    /**
     * Returns whether {@code id} says in this answer that it is leaving. A misdirected request was
     * answered by another endpoint, which may use the address of {@code id} now.
     */
    public boolean saysLeaving(EndpointId id) {
        return leaving && !isMisdirected() && (endpoint == null || endpoint.equals(id.value()));
    }
}
