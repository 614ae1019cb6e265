package org.carobdoor.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import org.carobdoor.standins.http.Json;

/**
 * The faults that a {@link PlatformStandIn} simulates.
 *
 * @param down whether the key-value service closes every connection without a response
 * @param cloudDown whether the cloud API closes every connection without a response
 * @param slowMillis the delay added to each call of the key-value service
 * @param loseAnswers the number of following writes that take effect but get no response
 * @param listLagMillis the lag of the list of VMs
 * @param refuseStarts where orders of VMs are refused: {@code "*"} for everywhere, a zone, or
 *     {@code "zone/machine class"}
 */
public record PlatformFaults(
        boolean down,
        boolean cloudDown,
        long slowMillis,
        int loseAnswers,
        long listLagMillis,
        Set<String> refuseStarts) {

    /** Makes a defensive copy of {@code refuseStarts}. */
    public PlatformFaults {
        refuseStarts = Set.copyOf(refuseStarts);
    }

    /** Returns no faults except the given lag of the list of VMs. */
    public static PlatformFaults none(long listLagMillis) {
        return new PlatformFaults(false, false, 0, 0, listLagMillis, Set.of());
    }

    /** Returns a copy with the faults that {@code json} contains replaced. */
    PlatformFaults with(JsonNode json) {
        return new PlatformFaults(
                json.path("down").asBoolean(down),
                json.path("cloudDown").asBoolean(cloudDown),
                json.path("slowMillis").asLong(slowMillis),
                json.path("loseAnswers").asInt(loseAnswers),
                json.path("listLagMillis").asLong(listLagMillis),
                json.has("refuseStarts")
                        ? parseRefuseStarts(json.get("refuseStarts"))
                        : refuseStarts);
    }

    PlatformFaults withLoseAnswers(int count) {
        return new PlatformFaults(down, cloudDown, slowMillis, count, listLagMillis, refuseStarts);
    }

    boolean refusesStart(String zone, String machineClass) {
        return refuseStarts.contains("*")
                || refuseStarts.contains(zone)
                || refuseStarts.contains(zone + "/" + machineClass);
    }

    private static Set<String> parseRefuseStarts(JsonNode node) {
        if (node.isBoolean()) {
            return node.asBoolean() ? Set.of("*") : Set.of();
        }
        return Set.copyOf(Json.stringList(node));
    }
}
