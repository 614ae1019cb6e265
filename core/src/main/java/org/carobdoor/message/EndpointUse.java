package org.carobdoor.message;

/**
 * The outstanding work of a node at an endpoint.
 *
 * @param endpoint the identifier of the endpoint
 * @param running number of requests whose answer has not completed
 * @param unreadTokens prompt tokens of the requests whose first token has not arrived
 */
public record EndpointUse(String endpoint, int running, long unreadTokens) {}
