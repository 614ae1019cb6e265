package org.carobdoor.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults that an engine imitates.
 *
 * @param slowMillis added to the time of each request before its first token
 * @param silent whether all connections, open and new, stay without a byte
 * @param refuse whether requests are refused with status 503
 * @param paused whether no token is generated
 * @param ignoreFencing whether orders with an old fencing number are carried out
 * @param tokenMillis the time of one token
 */
public record EngineFaults(
        long slowMillis,
        boolean silent,
        boolean refuse,
        boolean paused,
        boolean ignoreFencing,
        double tokenMillis) {

    /** Returns these faults with the fields that {@code json} names replaced. */
    EngineFaults with(JsonNode json) {
        return new EngineFaults(
                json.path("slowMillis").asLong(slowMillis),
                json.path("silent").asBoolean(silent),
                json.path("refuse").asBoolean(refuse),
                json.path("paused").asBoolean(paused),
                json.path("ignoreFencing").asBoolean(ignoreFencing),
                json.path("tokenMillis").asDouble(tokenMillis));
    }
}
