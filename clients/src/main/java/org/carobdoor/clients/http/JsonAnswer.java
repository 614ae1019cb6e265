package org.carobdoor.clients.http;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A valid answer: status 2xx, 404 or 409.
 *
 * @param status the HTTP status
 * @param body the body
 */
public record JsonAnswer(int status, JsonNode body) {

    /** Returns whether the request was carried out. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }

    /** Returns whether the other side refused because its state is another than expected. */
    public boolean isConflict() {
        return status == 409;
    }

    /** Returns whether the other side does not have what was asked for. */
    public boolean isMissing() {
        return status == 404;
    }
}
