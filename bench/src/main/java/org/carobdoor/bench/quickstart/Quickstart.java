package org.carobdoor.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.carobdoor.bench.cluster.ClusterHttpClient;
import org.carobdoor.bench.cluster.ClusterSpec;
import org.carobdoor.bench.cluster.LocalCluster;
import org.carobdoor.standins.engine.AnswerText;

/**
 * Starts six daemons in three availability zones with stand-ins as their backends, streams a draft,
 * places a bid twice, changes the catalogue, stops one daemon gracefully and shuts down.
 */
public final class Quickstart {
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration PROPAGATION_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);
    private static final int DRAFT_TOKENS = 12;

    private static final String DRAFTS_TOML =
            """
            name = "lot-drafts"
            owner = "hay"
            kind = "model"
            class = 2
            models = ["draft"]
            """;
    private static final String BIDS_TOML =
            """
            name = "bids"
            owner = "hay"
            kind = "service"
            class = 1
            service = "auction"
            path_prefix = "bids"
            repeatable = false
            """;

    private final LocalCluster cluster;
    private final ClusterHttpClient http;

    private Quickstart(LocalCluster cluster) {
        this.cluster = cluster;
        this.http = cluster.http();
    }

    /** Runs the walkthrough; throws if a step fails its check. */
    public static void main(String[] args) throws Exception {
        Path root = Path.of(args.length > 0 ? args[0] : ".").toAbsolutePath().normalize();
        Path runDir = Files.createTempDirectory("carobdoor-quickstart");
        print(
                "starting a platform, 6 engines, 3 plain HTTP services and 6 daemons; logs in "
                        + runDir);
        try (LocalCluster cluster = LocalCluster.start(ClusterSpec.small(), root, runDir)) {
            cluster.awaitReady(READY_TIMEOUT);
            new Quickstart(cluster).run();
        }
        print("done: every step succeeded");
    }

    private void run() throws IOException, InterruptedException {
        createEntries();
        streamDraft();
        placeBidTwice();
        changeEntry();
        stopOneNode();
    }

    private void createEntries() throws IOException, InterruptedException {
        putEntry("lot-drafts", 0, DRAFTS_TOML);
        putEntry("bids", 0, BIDS_TOML);
        awaitRevision("lot-drafts", 1);
        awaitRevision("bids", 1);
        print("created the entries lot-drafts and bids; both are active on all 6 nodes");
    }

    private void streamDraft() throws IOException {
        String body =
                "{\"model\":\"lot-drafts\",\"stream\":true,\"max_tokens\":"
                        + DRAFT_TOKENS
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"lot 17: alfalfa\"}]}";
        String url = cluster.url("node-a-1") + "/v1/chat/completions";
        ClusterHttpClient.HttpResult response = http.post(url, LocalCluster.CALLER_KEY, body);
        check(
                response.status() == 200,
                "draft: status " + response.status() + " " + response.body());
        StringBuilder text = new StringBuilder();
        for (String line : response.body().split("\n")) {
            if (line.startsWith("data: {")) {
                JsonNode chunk = http.json(line.substring("data: ".length()));
                text.append(chunk.path("choices").path(0).path("delta").path("content").asText());
            }
        }
        String expected = AnswerText.text("user: lot 17: alfalfa\n", 0, DRAFT_TOKENS);
        check(text.toString().equals(expected), "draft: unexpected text \"" + text + "\"");
        check(response.body().contains("data: [DONE]"), "draft: the stream has no end marker");
        print("streamed a draft of " + DRAFT_TOKENS + " tokens, complete: " + text);
    }

    private void placeBidTwice() throws IOException {
        String key = Instant.now().getEpochSecond() + ":lot-17-bid-1";
        ClusterHttpClient.HttpResult first = placeBid("node-a-1", key);
        check(first.status() == 200, "bid: status " + first.status() + " " + first.body());
        ClusterHttpClient.HttpResult second = placeBid("node-c-2", key);
        check(second.status() == 200, "repeat: " + second.status() + " " + second.body());
        check(second.body().equals(first.body()), "repeat: the response differs: " + second.body());
        int runs = 0;
        for (String s : cluster.serviceNames()) {
            JsonNode ledger = http.json(http.get(cluster.url(s) + "/ledger", "").body());
            for (JsonNode r : ledger.path("requests")) {
                runs += r.path("idempotencyKey").asText().equals(key) ? 1 : 0;
            }
        }
        check(runs == 1, "bid: ran " + runs + " times");
        print(
                "placed a bid at node-a-1 and again at node-c-2: same response, it ran "
                        + runs
                        + " time");
    }

    private ClusterHttpClient.HttpResult placeBid(String node, String key) throws IOException {
        return http.send(
                "POST",
                cluster.url(node) + "/services/bids/lot-17",
                LocalCluster.CALLER_KEY,
                "{\"amount\":1200}",
                Map.of("Idempotency-Key", key));
    }

    private void changeEntry() throws IOException, InterruptedException {
        Instant start = Instant.now();
        putEntry("lot-drafts", 1, DRAFTS_TOML.replace("class = 2", "class = 3"));
        awaitRevision("lot-drafts", 2);
        long millis = Duration.between(start, Instant.now()).toMillis();
        print("changed lot-drafts; revision 2 is active on all 6 nodes after " + millis + " ms");
        ClusterHttpClient.HttpResult stale = sendEntry("lot-drafts", 1, DRAFTS_TOML);
        check(stale.status() == 409, "a stale edit got status " + stale.status());
        print("a second edit of revision 1 was refused as a conflict");
    }

    private void stopOneNode() {
        var node = cluster.process("node-b-2");
        node.terminate();
        check(
                node.await(STOP_TIMEOUT),
                "node-b-2 did not stop; timeout in seconds: " + STOP_TIMEOUT.toSeconds());
        print("stopped node-b-2 gracefully");
    }

    private void putEntry(String name, long expected, String toml) throws IOException {
        ClusterHttpClient.HttpResult response = sendEntry(name, expected, toml);
        check(
                response.status() == 200,
                "entry " + name + ": " + response.status() + " " + response.body());
    }

    private ClusterHttpClient.HttpResult sendEntry(String name, long expected, String toml)
            throws IOException {
        return http.send(
                "PUT",
                cluster.url("node-a-1") + "/admin/catalogue/" + name + "?expected=" + expected,
                LocalCluster.OPERATOR_KEY,
                toml,
                Map.of("X-Operator", "quickstart"));
    }

    private void awaitRevision(String entry, long revision)
            throws IOException, InterruptedException {
        Instant deadline = Instant.now().plus(PROPAGATION_TIMEOUT);
        for (String node : cluster.nodeNames()) {
            while (revisionAt(node, entry) < revision) {
                check(
                        Instant.now().isBefore(deadline),
                        node + " has not applied " + entry + " " + revision);
                Thread.sleep(10);
            }
        }
    }

    private long revisionAt(String node, String entry) throws IOException {
        String url = cluster.url(node) + "/admin/status";
        ClusterHttpClient.HttpResult status = http.get(url, LocalCluster.OPERATOR_KEY);
        return http.json(status.body()).path("entries").path(entry).asLong(0);
    }

    private static void check(boolean condition, String problem) {
        if (!condition) {
            throw new IllegalStateException("quickstart failed: " + problem);
        }
    }

    private static void print(String line) {
        System.out.println("quickstart: " + line);
    }
}
