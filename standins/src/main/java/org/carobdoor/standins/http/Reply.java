package org.carobdoor.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The answer of a {@link JsonHandler}.
 *
 * @param status the HTTP status; 0 drops the connection without an answer, and -1 means that the
 *     handler has sent the answer itself
 * @param body the body
 */
public record Reply(int status, JsonNode body) {
    private static final Reply DROPPED = new Reply(0, JsonNodeFactory.instance.nullNode());
    private static final Reply SENT = new Reply(-1, JsonNodeFactory.instance.nullNode());

    /** Returns an answer with status 200. */
    public static Reply ok(JsonNode body) {
        return new Reply(200, body);
    }

    /** Returns an answer that consists of a status and a short text. */
    public static Reply error(int status, String error) {
        return new Reply(status, JsonNodeFactory.instance.objectNode().put("error", error));
    }

    /** Returns the instruction to drop the connection without an answer. */
    public static Reply dropped() {
        return DROPPED;
    }

    /** Returns the statement that the handler has sent the answer itself. */
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
