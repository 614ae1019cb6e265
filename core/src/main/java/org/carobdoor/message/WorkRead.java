package org.carobdoor.message;

/**
 * Requests the answer of a request, starting at an offset.
 *
 * @param requestId the id of the request
 * @param offset index of the first requested token
 */
public record WorkRead(String requestId, int offset) implements WorkMessage {}
