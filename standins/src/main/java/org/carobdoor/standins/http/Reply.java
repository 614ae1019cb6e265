package org.carobdoor.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The response of a {@link JsonHandler}.
 *
 * @param status the HTTP status; 0 closes the connection without a response, and -1 means that the
 *     handler has sent the response itself
 * @param body the response body
 */
public record Reply(int status, JsonNode body) {
    private static final Reply DROPPED = new Reply(0, JsonNodeFactory.instance.nullNode());
    private static final Reply SENT = new Reply(-1, JsonNodeFactory.instance.nullNode());

    /** Returns a response with status 200. */
    public static Reply ok(JsonNode body) {
        return new Reply(200, body);
    }

    /** Returns an error response with a message. */
    public static Reply error(int status, String error) {
        return new Reply(status, JsonNodeFactory.instance.objectNode().put("error", error));
    }

    /** Returns a reply that closes the connection without a response. */
    public static Reply dropped() {
        return DROPPED;
    }

    /** Returns a reply that says that the handler has sent the response itself. */
    public static Reply sent() {
        return SENT;
    }

    boolean isSent() {
        return status == -1;
    }

    boolean isDropped() {
        return status == 0;
    }
}
