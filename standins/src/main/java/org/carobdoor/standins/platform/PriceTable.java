package org.carobdoor.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.carobdoor.standins.http.Json;

/** The hourly prices of VMs by zone, machine class and pricing. */
final class PriceTable {
    private static final double DEFAULT_PRICE_PER_HOUR = 1.0;

    private final Map<String, Double> prices = new ConcurrentSkipListMap<>();

    PriceTable() {
        // Reclaimable VMs cost about a third of on-demand VMs, and prices differ by 5% between
        // zones.
        String[] zones = {"zone-a", "zone-b", "zone-c"};
        for (int i = 0; i < zones.length; i++) {
            double factor = 1 + 0.05 * i;
            set(zones[i], "gpu-1", "on_demand", 3.0 * factor);
            set(zones[i], "gpu-1", "reclaimable", factor);
            set(zones[i], "gpu-4", "on_demand", 11.0 * factor);
            set(zones[i], "gpu-4", "reclaimable", 3.6 * factor);
        }
    }

    void set(String zone, String machineClass, String pricing, double pricePerHour) {
        prices.put(key(zone, machineClass, pricing), pricePerHour);
    }

    void setAll(JsonNode list) {
        for (JsonNode price : list) {
            set(
                    price.path("zone").asText(),
                    price.path("machineClass").asText(),
                    price.path("pricing").asText(),
                    price.path("pricePerHour").asDouble());
        }
    }

    double pricePerHour(String zone, String machineClass, String pricing) {
        return prices.getOrDefault(key(zone, machineClass, pricing), DEFAULT_PRICE_PER_HOUR);
    }

    ObjectNode toJson() {
        ObjectNode json = Json.object();
        ArrayNode list = json.putArray("prices");
        prices.forEach(
                (key, price) -> {
                    String[] parts = key.split("\n", -1);
                    list.addObject()
                            .put("zone", parts[0])
                            .put("machineClass", parts[1])
                            .put("pricing", parts[2])
                            .put("pricePerHour", price);
                });
        return json;
    }

    private static String key(String zone, String machineClass, String pricing) {
        return zone + "\n" + machineClass + "\n" + pricing;
    }
}
