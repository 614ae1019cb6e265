package org.carobdoor.bench.cluster;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/** The catalogue entries that tools and tests of a {@link LocalCluster} use. */
public final class Entries {
    private static final Duration IN_FORCE = Duration.ofSeconds(5);

    private static final Map<String, String> TEXTS =
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

    private Entries() {}

    /** Creates the entries {@code lot-drafts}, {@code bids} and {@code checks} on all nodes. */
    public static void create(LocalCluster cluster) throws IOException, InterruptedException {
        String node = cluster.url(cluster.nodeNames().getFirst());
        for (var entry : TEXTS.entrySet()) {
            HttpProbe.Answer a =
                    cluster.http()
                            .send(
                                    "PUT",
                                    node + "/admin/catalogue/" + entry.getKey() + "?expected=0",
                                    LocalCluster.OPERATOR_KEY,
                                    entry.getValue(),
                                    Map.of("X-Operator", "bench"));
            if (a.status() != 200) {
                throw new IOException(entry.getKey() + ": " + a.status() + " " + a.body());
            }
        }
        awaitAll(cluster, Instant.now().plus(IN_FORCE));
    }

    private static void awaitAll(LocalCluster cluster, Instant deadline)
            throws IOException, InterruptedException {
        for (String node : cluster.nodeNames()) {
            while (entriesAt(cluster, node) < TEXTS.size()) {
                if (Instant.now().isAfter(deadline)) {
                    throw new IOException(node + " lacks entries after " + IN_FORCE);
                }
                Thread.sleep(20);
            }
        }
    }

    private static int entriesAt(LocalCluster cluster, String node) throws IOException {
        String url = cluster.url(node) + "/admin/status";
        String status = cluster.http().get(url, LocalCluster.OPERATOR_KEY).body();
        return cluster.http().json(status).path("entries").size();
    }
}
