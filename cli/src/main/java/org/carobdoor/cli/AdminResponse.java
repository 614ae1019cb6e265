package org.carobdoor.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A response of a node's admin interface.
 *
 * @param status the HTTP status
 * @param body the parsed body, an empty object if it is not JSON
 */
record AdminResponse(int status, JsonNode body) {

    boolean isSuccess() {
        return status / 100 == 2;
    }

    boolean isConflict() {
        return status == 409;
    }

    /** Returns a readable description from the problem document in the body. */
    String problemText() {
        String detail = body.path("detail").asText(body.path("title").asText());
        return detail.isEmpty() ? "status " + status : detail + " (status " + status + ")";
    }
}
