package org.carobdoor.message;

/**
 * The work that a node has at an endpoint.
 *
 * @param endpoint the identifier of the endpoint
 * @param running the requests that wait for an answer or its end
 * @param unreadTokens the prompt tokens of those whose first token has not arrived
 */
public record EndpointUse(String endpoint, int running, long unreadTokens) {}
