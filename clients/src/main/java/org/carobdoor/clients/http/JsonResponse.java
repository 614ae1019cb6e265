package org.carobdoor.clients.http;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A JSON response with status 2xx, 404 or 409.
 *
 * @param status the HTTP status
 * @param body the parsed body, a missing node if a 404 or 409 response is not JSON
 */
public record JsonResponse(int status, JsonNode body) {

    /** Returns whether the request succeeded. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }

    /**
     * Returns whether the server rejected the request because its state differs from the expected.
     */
    public boolean isConflict() {
        return status == 409;
    }

    /** Returns whether the server does not have the requested resource. */
    public boolean isNotFound() {
        return status == 404;
    }
}
