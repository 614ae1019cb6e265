package org.carobdoor.node.claims;

import org.carobdoor.Bytes;

/**
 * The response to a claimed call.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, empty if there is none
 * @param body the body
 */
public record StoredAnswer(int status, String contentType, Bytes body) {}
