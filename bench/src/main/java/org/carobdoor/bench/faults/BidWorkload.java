package org.carobdoor.bench.faults;

import java.io.IOException;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.carobdoor.bench.cluster.ClusterHttpClient;
import org.carobdoor.bench.cluster.LocalCluster;

/**
 * Places bids that may not be repeated, repeats unclear ones at other nodes, and compares the
 * answers with the ledgers of the plain services.
 */
final class BidWorkload implements Workload {
    private static final int MAX_ATTEMPTS = 4;
    private static final long PAUSE_MILLIS = 40;

    /** What the caller of one bid has been told. */
    private enum Told {
        /** Every attempt was refused as not run. */
        NOT_RUN,
        /** At least one attempt had an unknown outcome, none was answered. */
        UNKNOWN,
        /** An attempt was answered. */
        RAN
    }

    private final LocalCluster cluster;
    private final Violations violations;
    private final RandomGenerator random;
    private final Map<String, Told> told = new ConcurrentHashMap<>();
    private final AtomicInteger next = new AtomicInteger();

    BidWorkload(LocalCluster cluster, Violations violations, RandomGenerator random) {
        this.cluster = cluster;
        this.violations = violations;
        this.random = random;
    }

    @Override
    public void round() throws InterruptedException {
        String key = Instant.now().getEpochSecond() + ":bid-" + next.incrementAndGet();
        Told state = Told.NOT_RUN;
        for (int attempt = 0; attempt < MAX_ATTEMPTS && state != Told.RAN; attempt++) {
            Told now = place(key);
            state = now == Told.NOT_RUN ? state : now;
            if (now != Told.RAN) {
                Thread.sleep(PAUSE_MILLIS * (attempt + 1));
            }
        }
        told.put(key, state);
        Thread.sleep(PAUSE_MILLIS);
    }

    private Told place(String key) {
        var nodes = cluster.nodeNames();
        String node = nodes.get(random.nextInt(nodes.size()));
        try {
            ClusterHttpClient.HttpResult a =
                    cluster.http()
                            .send(
                                    "POST",
                                    cluster.url(node) + "/services/bids/lot-1",
                                    LocalCluster.CALLER_KEY,
                                    "{\"amount\":100}",
                                    Map.of("Idempotency-Key", key, "X-Request-Timeout-Ms", "4000"));
            if (a.status() == 200) {
                return Told.RAN;
            }
            String runState = cluster.http().json(a.body()).path("run_state").asText();
            return runState.equals("not_run") ? Told.NOT_RUN : Told.UNKNOWN;
        } catch (IOException e) {
            // A connection that was refused carried nothing; any other failure is unclear.
            return e instanceof java.net.ConnectException ? Told.NOT_RUN : Told.UNKNOWN;
        }
    }

    @Override
    public void checkAtEnd() {
        Map<String, Integer> ledger;
        try {
            ledger = Ledgers.keys(cluster);
        } catch (IOException e) {
            violations.add("the ledgers cannot be read: " + e);
            return;
        }
        ledger.forEach(
                (key, count) -> {
                    if (key.contains("bid-") && count > 1) {
                        violations.add("P4 bid " + key + " ran " + count + " times");
                    }
                });
        told.forEach(
                (key, state) -> {
                    int count = ledger.getOrDefault(key, 0);
                    if (state == Told.NOT_RUN && count > 0) {
                        violations.add("P3 bid " + key + " was told not_run and ran");
                    }
                    if (state == Told.RAN && count != 1) {
                        violations.add("P4 bid " + key + " was answered and ran " + count);
                    }
                });
    }

    @Override
    public String summary() {
        return "bids: "
                + told.size()
                + " placed, "
                + count(Told.RAN)
                + " ran, "
                + count(Told.NOT_RUN)
                + " not run, "
                + count(Told.UNKNOWN)
                + " unknown";
    }

    private long count(Told state) {
        return told.values().stream().filter(t -> t == state).count();
    }
}
