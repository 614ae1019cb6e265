package org.carobdoor.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults that an {@link EngineStandIn} simulates.
 *
 * @param slowMillis the delay added to each request before its first token
 * @param silent whether no byte is sent on any connection, whether open or new
 * @param refuse whether requests are rejected with status 503
 * @param paused whether the generation of tokens is paused
 * @param ignoreFencing whether orders with an old fencing token are executed
 * @param tokenMillis the generation time of a token
 */
public record EngineFaults(
        long slowMillis,
        boolean silent,
        boolean refuse,
        boolean paused,
        boolean ignoreFencing,
        double tokenMillis) {

    /** Returns a copy with the faults that {@code json} contains replaced. */
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
