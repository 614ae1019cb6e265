package org.carobdoor.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.TreeSet;
import org.carobdoor.standins.http.Json;

/**
 * A VM in the list of the cloud API.
 *
 * @param id the identifier, which is never reused
 * @param role {@code "endpoint"} or {@code "entry"}
 * @param zone the availability zone
 * @param address the IP address and port, or empty while the VM is starting
 * @param machineClass the machine class
 * @param pricing {@code "reclaimable"} or {@code "on_demand"}
 * @param state {@code "starting"}, {@code "live"} or {@code "leaving"}
 * @param service {@code "engine"}, the name of a plain service, or empty for an entry VM
 * @param models the models that an engine serves
 * @param checksFencing whether an engine rejects orders with an old fencing token
 * @param pricePerHour the price per hour
 */
public record CloudVm(
        String id,
        String role,
        String zone,
        String address,
        String machineClass,
        String pricing,
        String state,
        String service,
        Set<String> models,
        boolean checksFencing,
        double pricePerHour) {

    /** Makes a defensive copy of {@code models}. */
    public CloudVm {
        models = Set.copyOf(models);
    }

    /** Returns a live, reclaimable endpoint of machine class {@code gpu-1}. */
    public static CloudVm endpoint(
            String id, String zone, String address, String service, Set<String> models) {
        return new CloudVm(
                id,
                "endpoint",
                zone,
                address,
                "gpu-1",
                "reclaimable",
                "live",
                service,
                models,
                true,
                1.0);
    }

    /** Returns a live, reclaimable entry VM. */
    public static CloudVm entry(String id, String zone, String address) {
        return new CloudVm(
                id,
                "entry",
                zone,
                address,
                "cpu-1",
                "reclaimable",
                "live",
                "",
                Set.of(),
                false,
                0.1);
    }

    static CloudVm fromJson(JsonNode json, String id) {
        return new CloudVm(
                id,
                json.path("role").asText("endpoint"),
                json.path("zone").asText(),
                json.path("address").asText(),
                json.path("machineClass").asText("gpu-1"),
                json.path("pricing").asText("reclaimable"),
                json.path("state").asText("live"),
                json.path("service").asText("engine"),
                Set.copyOf(Json.stringList(json.path("models"))),
                json.path("checksFencing").asBoolean(true),
                json.path("pricePerHour").asDouble(1.0));
    }

    ObjectNode toJson() {
        ObjectNode json = Json.object();
        json.put("id", id).put("role", role).put("zone", zone).put("address", address);
        json.put("machineClass", machineClass).put("pricing", pricing).put("state", state);
        json.put("service", service).set("models", Json.strings(new TreeSet<>(models)));
        return json.put("checksFencing", checksFencing).put("pricePerHour", pricePerHour);
    }

    CloudVm withState(String newState) {
        return new CloudVm(
                id,
                role,
                zone,
                address,
                machineClass,
                pricing,
                newState,
                service,
                models,
                checksFencing,
                pricePerHour);
    }

    CloudVm liveWithAddress(String newAddress) {
        return new CloudVm(
                id,
                role,
                zone,
                newAddress,
                machineClass,
                pricing,
                "live",
                service,
                models,
                checksFencing,
                pricePerHour);
    }
}
