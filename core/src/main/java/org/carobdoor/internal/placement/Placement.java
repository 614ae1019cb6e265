package org.carobdoor.internal.placement;

/** The result of choosing an endpoint for a request. */
public sealed interface Placement {

    /**
     * The request is sent to an endpoint.
     *
     * @param endpoint the chosen endpoint
     * @param expectedMillis expected time to the first token or to the answer
     * @param unreadTokens prompt tokens that the endpoint is expected to prefill
     */
    record Chosen(EndpointLoad endpoint, double expectedMillis, int unreadTokens)
            implements Placement {}

    /**
     * No endpoint can serve the request in time.
     *
     * @param retryAfterMillis time after which an endpoint is expected to have capacity
     */
    record Saturated(long retryAfterMillis) implements Placement {}

    /** The service has no endpoint that accepts requests. */
    record NoEndpoint() implements Placement {}
}
