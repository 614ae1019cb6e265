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
 * Edits a catalogue entry and continuously reads its revision from every node. The revision at a
 * node must never decrease, and an accepted change must never be lost.
 */
final class CatalogueWorkload implements Workload {
    private static final String ENTRY = "checks";
    private static final int ROUNDS_PER_EDIT = 20;

    private final LocalCluster cluster;
    private final Violations violations;
    private final RandomGenerator random;
    private final Map<String, Long> highestRevisions = new HashMap<>();
    private final AtomicLong acceptedRevision = new AtomicLong(1);
    private final AtomicLong edits = new AtomicLong();
    private final AtomicLong reads = new AtomicLong();
    private int rounds;

    CatalogueWorkload(LocalCluster cluster, Violations violations, RandomGenerator random) {
        this.cluster = cluster;
        this.violations = violations;
        this.random = random;
    }

    @Override
    public void runRound() throws InterruptedException {
        if (rounds++ % ROUNDS_PER_EDIT == 0) {
            edit();
        }
        for (String node : cluster.nodeNames()) {
            readRevision(node);
        }
        Thread.sleep(50);
    }

    private void edit() {
        var nodes = cluster.nodeNames();
        String node = nodes.get(random.nextInt(nodes.size()));
        String url = cluster.url(node) + "/admin/catalogue/" + ENTRY;
        try {
            ClusterHttpClient.HttpResult current =
                    cluster.http().get(url, LocalCluster.OPERATOR_KEY);
            if (current.status() != 200) {
                return;
            }
            long revision = cluster.http().json(current.body()).path("revision").asLong();
            if (revision < acceptedRevision.get()) {
                violations.add("P7 the store returned the older revision " + revision);
            }
            ClusterHttpClient.HttpResult response =
                    cluster.http()
                            .send(
                                    "PUT",
                                    url + "?expected=" + revision,
                                    LocalCluster.OPERATOR_KEY,
                                    entryToml(1 + random.nextInt(4)),
                                    Map.of("X-Operator", "faults"));
            if (response.status() == 200) {
                edits.incrementAndGet();
                long newRevision = cluster.http().json(response.body()).path("revision").asLong();
                acceptedRevision.accumulateAndGet(newRevision, Math::max);
            }
        } catch (IOException e) {
            // The node is down; the next edit chooses a node again.
            reads.decrementAndGet();
        }
    }

    private static String entryToml(int priority) {
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

    private long readRevision(String node) {
        try {
            String url = cluster.url(node) + "/admin/status";
            JsonNode status =
                    cluster.http().json(cluster.http().get(url, LocalCluster.OPERATOR_KEY).body());
            long revision = status.path("entries").path(ENTRY).asLong(0);
            // A restarted daemon has a new node id, so its revisions are tracked separately.
            String id = status.path("node").asText();
            long before = highestRevisions.getOrDefault(id, 0L);
            if (revision < before) {
                violations.add("P7 node " + id + " went from " + before + " to " + revision);
            }
            highestRevisions.put(id, Math.max(before, revision));
            reads.incrementAndGet();
            return revision;
        } catch (IOException e) {
            return -1;
        }
    }

    @Override
    public void checkAfterFaults() throws InterruptedException {
        // No fault is active any more, so every node must apply the last change within 5 s.
        long deadline = System.nanoTime() + 5_000_000_000L;
        for (String node : cluster.nodeNames()) {
            while (readRevision(node) < acceptedRevision.get()) {
                if (System.nanoTime() > deadline) {
                    violations.add("P7 " + node + " has not applied revision " + acceptedRevision);
                    break;
                }
                Thread.sleep(50);
            }
        }
    }

    @Override
    public String summary() {
        return "catalogue: " + edits + " edits accepted, " + reads + " revision reads";
    }
}
