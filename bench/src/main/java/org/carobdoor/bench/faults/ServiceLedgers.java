package org.carobdoor.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.carobdoor.bench.cluster.LocalCluster;

/** Reads the ledgers in which the plain HTTP services record the requests they receive. */
final class ServiceLedgers {
    private ServiceLedgers() {}

    /** Returns the number of requests with each idempotency key, over all services. */
    static Map<String, Integer> countByIdempotencyKey(LocalCluster cluster) throws IOException {
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
