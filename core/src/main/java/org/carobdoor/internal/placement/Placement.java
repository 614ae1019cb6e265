package org.carobdoor.internal.placement;

/** Where a request goes. */
public sealed interface Placement {

    /**
     * It goes to an endpoint.
     *
     * @param endpoint the endpoint
     * @param expectedMillis the expected time to its first token or answer
     * @param unreadTokens the prompt tokens that the endpoint is expected to read
     */
    record Chosen(EndpointLoad endpoint, double expectedMillis, int unreadTokens)
            implements Placement {}

    /**
     * No endpoint can serve it in time.
     *
     * @param retryAfterMillis when one is expected to
     */
    record Saturated(long retryAfterMillis) implements Placement {}

    /** The service has no endpoint that may be used. */
    record NoEndpoint() implements Placement {}
}
