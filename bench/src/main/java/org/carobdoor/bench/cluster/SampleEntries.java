package org.carobdoor.bench.cluster;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/** Catalogue entries shared by the tools that run on a {@link LocalCluster}. */
public final class SampleEntries {
    private static final Duration PROPAGATION_TIMEOUT = Duration.ofSeconds(5);

    private static final Map<String, String> ENTRY_TOML =
            Map.of(
                    "lot-drafts",
                    """
                    name = "lot-drafts"
                    owner = "hay"
                    kind = "model"
                    class = 1
                    models = ["draft"]
                    """,
                    "bids",
                    """
                    name = "bids"
                    owner = "hay"
                    kind = "service"
                    class = 1
                    service = "auction"
                    path_prefix = "bids"
                    repeatable = false
                    """,
                    "checks",
                    """
                    name = "checks"
                    owner = "hay"
                    kind = "service"
                    class = 2
                    service = "auction"
                    path_prefix = "checks"
                    repeatable = true
                    """);

    private SampleEntries() {}

    /**
     * Creates the entries {@code lot-drafts}, {@code bids} and {@code checks}, and waits until
     * every node has applied them.
     */
    public static void create(LocalCluster cluster) throws IOException, InterruptedException {
        String node = cluster.url(cluster.nodeNames().getFirst());
        for (var entry : ENTRY_TOML.entrySet()) {
            ClusterHttpClient.HttpResult result =
                    cluster.http()
                            .send(
                                    "PUT",
                                    node + "/admin/catalogue/" + entry.getKey() + "?expected=0",
                                    LocalCluster.OPERATOR_KEY,
                                    entry.getValue(),
                                    Map.of("X-Operator", "bench"));
            if (result.status() != 200) {
                throw new IOException(
                        entry.getKey()
                                + ": creation failed with status "
                                + result.status()
                                + " "
                                + result.body());
            }
        }
        awaitPropagation(cluster, Instant.now().plus(PROPAGATION_TIMEOUT));
    }

    private static void awaitPropagation(LocalCluster cluster, Instant deadline)
            throws IOException, InterruptedException {
        for (String node : cluster.nodeNames()) {
            while (entryCount(cluster, node) < ENTRY_TOML.size()) {
                if (Instant.now().isAfter(deadline)) {
                    throw new IOException(
                            node + " has not applied all entries after " + PROPAGATION_TIMEOUT);
                }
                Thread.sleep(20);
            }
        }
    }

    private static int entryCount(LocalCluster cluster, String node) throws IOException {
        String url = cluster.url(node) + "/admin/status";
        String status = cluster.http().get(url, LocalCluster.OPERATOR_KEY).body();
        return cluster.http().json(status).path("entries").size();
    }
}
