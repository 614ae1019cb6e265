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
 * Places non-repeatable bids, retries failed attempts with the same idempotency key at randomly
 * chosen nodes, and compares the reported outcomes with the ledgers of the plain HTTP services.
 */
final class BidWorkload implements Workload {
    private static final int MAX_ATTEMPTS = 4;
    private static final long RETRY_DELAY_MILLIS = 40;

    /** What the responses have told the caller about one bid. */
    private enum ReportedOutcome {
        /** Every attempt failed and was reported as not run. */
        NOT_RUN,
        /** At least one attempt had an unknown outcome, and none was answered. */
        UNKNOWN,
        /** An attempt was answered with status 200. */
        ANSWERED
    }

    private final LocalCluster cluster;
    private final Violations violations;
    private final RandomGenerator random;
    private final Map<String, ReportedOutcome> reportedOutcomes = new ConcurrentHashMap<>();
    private final AtomicInteger nextBid = new AtomicInteger();

    BidWorkload(LocalCluster cluster, Violations violations, RandomGenerator random) {
        this.cluster = cluster;
        this.violations = violations;
        this.random = random;
    }

    @Override
    public void runRound() throws InterruptedException {
        String key = Instant.now().getEpochSecond() + ":bid-" + nextBid.incrementAndGet();
        ReportedOutcome state = ReportedOutcome.NOT_RUN;
        for (int attempt = 0;
                attempt < MAX_ATTEMPTS && state != ReportedOutcome.ANSWERED;
                attempt++) {
            ReportedOutcome outcome = placeBid(key);
            state = outcome == ReportedOutcome.NOT_RUN ? state : outcome;
            if (outcome != ReportedOutcome.ANSWERED) {
                Thread.sleep(RETRY_DELAY_MILLIS * (attempt + 1));
            }
        }
        reportedOutcomes.put(key, state);
        Thread.sleep(RETRY_DELAY_MILLIS);
    }

    private ReportedOutcome placeBid(String key) {
        var nodes = cluster.nodeNames();
        String node = nodes.get(random.nextInt(nodes.size()));
        try {
            ClusterHttpClient.HttpResult response =
                    cluster.http()
                            .send(
                                    "POST",
                                    cluster.url(node) + "/services/bids/lot-1",
                                    LocalCluster.CALLER_KEY,
                                    "{\"amount\":100}",
                                    Map.of("Idempotency-Key", key, "X-Request-Timeout-Ms", "4000"));
            if (response.status() == 200) {
                return ReportedOutcome.ANSWERED;
            }
            String runState = cluster.http().json(response.body()).path("run_state").asText();
            return runState.equals("not_run") ? ReportedOutcome.NOT_RUN : ReportedOutcome.UNKNOWN;
        } catch (IOException e) {
            // A refused connection has transferred nothing; after other failures the outcome is
            // unknown.
            return e instanceof java.net.ConnectException
                    ? ReportedOutcome.NOT_RUN
                    : ReportedOutcome.UNKNOWN;
        }
    }

    @Override
    public void checkAfterFaults() {
        Map<String, Integer> ledger;
        try {
            ledger = ServiceLedgers.countByIdempotencyKey(cluster);
        } catch (IOException e) {
            violations.add("reading the ledgers failed: " + e);
            return;
        }
        ledger.forEach(
                (key, count) -> {
                    if (key.contains("bid-") && count > 1) {
                        violations.add("P4 bid " + key + " ran " + count + " times");
                    }
                });
        reportedOutcomes.forEach(
                (key, state) -> {
                    int count = ledger.getOrDefault(key, 0);
                    if (state == ReportedOutcome.NOT_RUN && count > 0) {
                        violations.add("P3 bid " + key + " was reported as not_run but ran");
                    }
                    if (state == ReportedOutcome.ANSWERED && count != 1) {
                        violations.add(
                                "P4 bid " + key + " was answered; expected 1 run, found " + count);
                    }
                });
    }

    @Override
    public String summary() {
        return "bids: "
                + reportedOutcomes.size()
                + " placed, "
                + count(ReportedOutcome.ANSWERED)
                + " answered, "
                + count(ReportedOutcome.NOT_RUN)
                + " not run, "
                + count(ReportedOutcome.UNKNOWN)
                + " unknown";
    }

    private long count(ReportedOutcome state) {
        return reportedOutcomes.values().stream().filter(t -> t == state).count();
    }
}
