package org.carobdoor.message;

/**
 * Asks for the answer of a request from an offset.
 *
 * @param requestId the id of the request
 * @param offset the index of the first token wanted
 */
public record WorkRead(String requestId, int offset) implements WorkMessage {}
