package org.carobdoor.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.carobdoor.bench.cluster.LocalCluster;

/** Reads what the plain services have received. */
final class Ledgers {
    private Ledgers() {}

    /** Returns how often each idempotency key arrived at any plain service. */
    static Map<String, Integer> keys(LocalCluster cluster) throws IOException {
        Map<String, Integer> counts = new HashMap<>();
        for (String s : cluster.serviceNames()) {
            JsonNode ledger =
                    cluster.http().json(cluster.http().get(cluster.url(s) + "/ledger", "").body());
            for (JsonNode r : ledger.path("requests")) {
                counts.merge(r.path("idempotencyKey").asText(), 1, Integer::sum);
            }
        }
        return counts;
    }
}
