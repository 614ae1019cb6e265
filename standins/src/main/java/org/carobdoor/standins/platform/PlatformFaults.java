package org.carobdoor.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import org.carobdoor.standins.http.Json;

/**
 * The faults that the platform imitates.
 *
 * @param down whether the key-value service drops every connection without an answer
 * @param cloudDown whether the cloud API does so
 * @param slowMillis added to the time of each call of the key-value service
 * @param loseAnswers how many of the next writes take effect without an answer
 * @param listLagMillis by how much the list of VMs is behind
 * @param refuseStarts where orders of VMs are refused: {@code "*"}, a zone, or {@code "zone/machine
 *     class"}
 */
public record PlatformFaults(
        boolean down,
        boolean cloudDown,
        long slowMillis,
        int loseAnswers,
        long listLagMillis,
        Set<String> refuseStarts) {

    /** Copies the set. */
    public PlatformFaults {
        refuseStarts = Set.copyOf(refuseStarts);
    }

    /** Returns no faults but the given lag of the list. */
    public static PlatformFaults none(long listLagMillis) {
        return new PlatformFaults(false, false, 0, 0, listLagMillis, Set.of());
    }

    /** Returns these faults with the fields that {@code json} names replaced. */
    PlatformFaults with(JsonNode json) {
        return new PlatformFaults(
                json.path("down").asBoolean(down),
                json.path("cloudDown").asBoolean(cloudDown),
                json.path("slowMillis").asLong(slowMillis),
                json.path("loseAnswers").asInt(loseAnswers),
                json.path("listLagMillis").asLong(listLagMillis),
                json.has("refuseStarts") ? places(json.get("refuseStarts")) : refuseStarts);
    }

    PlatformFaults withLoseAnswers(int count) {
        return new PlatformFaults(down, cloudDown, slowMillis, count, listLagMillis, refuseStarts);
    }

    boolean refusesStart(String zone, String machineClass) {
        return refuseStarts.contains("*")
                || refuseStarts.contains(zone)
                || refuseStarts.contains(zone + "/" + machineClass);
    }

    private static Set<String> places(JsonNode node) {
        if (node.isBoolean()) {
            return node.asBoolean() ? Set.of("*") : Set.of();
        }
        return Set.copyOf(Json.stringList(node));
    }
}
