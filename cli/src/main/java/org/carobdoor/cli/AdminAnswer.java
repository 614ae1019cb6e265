package org.carobdoor.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The answer of a node.
 *
 * @param status the HTTP status
 * @param body the body, an empty object if it is not JSON
 */
record AdminAnswer(int status, JsonNode body) {

    boolean isSuccess() {
        return status / 100 == 2;
    }

    boolean isConflict() {
        return status == 409;
    }

    /** Returns what the problem document says, for a person to read. */
    String problem() {
        String detail = body.path("detail").asText(body.path("title").asText());
        return detail.isEmpty() ? "status " + status : detail + " (status " + status + ")";
    }
}
