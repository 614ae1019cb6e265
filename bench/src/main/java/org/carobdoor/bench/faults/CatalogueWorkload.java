package org.carobdoor.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.carobdoor.bench.cluster.ClusterHttpClient;
import org.carobdoor.bench.cluster.LocalCluster;

/**
 * Edits an entry and reads every node without pause: revisions must never go down at a node, and an
 * accepted change must never be lost.
 */
final class CatalogueWorkload implements Workload {
    private static final String ENTRY = "checks";
    private static final int READS_PER_EDIT = 20;

    private final LocalCluster cluster;
    private final Violations violations;
    private final RandomGenerator random;
    private final Map<String, Long> seen = new HashMap<>();
    private final AtomicLong accepted = new AtomicLong(1);
    private final AtomicLong edits = new AtomicLong();
    private final AtomicLong reads = new AtomicLong();
    private int rounds;

    CatalogueWorkload(LocalCluster cluster, Violations violations, RandomGenerator random) {
        this.cluster = cluster;
        this.violations = violations;
        this.random = random;
    }

    @Override
    public void round() throws InterruptedException {
        if (rounds++ % READS_PER_EDIT == 0) {
            edit();
        }
        for (String node : cluster.nodeNames()) {
            readOne(node);
        }
        Thread.sleep(50);
    }

    private void edit() {
        var nodes = cluster.nodeNames();
        String node = nodes.get(random.nextInt(nodes.size()));
        String url = cluster.url(node) + "/admin/catalogue/" + ENTRY;
        try {
            ClusterHttpClient.HttpResult shown = cluster.http().get(url, LocalCluster.OPERATOR_KEY);
            if (shown.status() != 200) {
                return;
            }
            long revision = cluster.http().json(shown.body()).path("revision").asLong();
            if (revision < accepted.get()) {
                violations.add("P7 the store went back to revision " + revision);
            }
            ClusterHttpClient.HttpResult a =
                    cluster.http()
                            .send(
                                    "PUT",
                                    url + "?expected=" + revision,
                                    LocalCluster.OPERATOR_KEY,
                                    text(1 + random.nextInt(4)),
                                    Map.of("X-Operator", "faults"));
            if (a.status() == 200) {
                edits.incrementAndGet();
                long now = cluster.http().json(a.body()).path("revision").asLong();
                accepted.accumulateAndGet(now, Math::max);
            }
        } catch (IOException e) {
            // The node is down; the next edit goes to another one.
            reads.decrementAndGet();
        }
    }

    private static String text(int priority) {
        return """
        name = "checks"
        owner = "hay"
        kind = "service"
        class = %d
        service = "auction"
        path_prefix = "checks"
        repeatable = true
        """
                .formatted(priority);
    }

    private long readOne(String node) {
        try {
            String url = cluster.url(node) + "/admin/status";
            JsonNode status =
                    cluster.http().json(cluster.http().get(url, LocalCluster.OPERATOR_KEY).body());
            long revision = status.path("entries").path(ENTRY).asLong(0);
            // A restarted daemon has another id and begins anew.
            String id = status.path("node").asText();
            long before = seen.getOrDefault(id, 0L);
            if (revision < before) {
                violations.add("P7 node " + id + " went from " + before + " to " + revision);
            }
            seen.put(id, Math.max(before, revision));
            reads.incrementAndGet();
            return revision;
        } catch (IOException e) {
            return -1;
        }
    }

    @Override
    public void checkAtEnd() throws InterruptedException {
        // All faults are over, so the last change must be in force everywhere within 5 s.
        long deadline = System.nanoTime() + 5_000_000_000L;
        for (String node : cluster.nodeNames()) {
            while (readOne(node) < accepted.get()) {
                if (System.nanoTime() > deadline) {
                    violations.add("P7 " + node + " lacks revision " + accepted);
                    break;
                }
                Thread.sleep(50);
            }
        }
    }

    @Override
    public String summary() {
        return "catalogue: " + edits + " edits accepted, " + reads + " reads of nodes";
    }
}
