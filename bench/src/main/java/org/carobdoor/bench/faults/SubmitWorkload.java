package org.carobdoor.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.carobdoor.bench.cluster.ClusterHttpClient;
import org.carobdoor.bench.cluster.LocalCluster;
import org.carobdoor.standins.engine.AnswerText;

/**
 * Submits drafts asynchronously and reads their answers in parts, each from a randomly chosen node.
 * Every part must match the expected answer, and the answer must be complete in the end.
 */
final class SubmitWorkload implements Workload {
    private static final int TOKENS = 200;
    private static final int CHARS_PER_TOKEN = 7;
    private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(90);

    private final LocalCluster cluster;
    private final Violations violations;
    private final RandomGenerator random;
    private final AtomicInteger nextPrompt = new AtomicInteger();
    private final AtomicInteger accepted = new AtomicInteger();
    private final AtomicInteger completed = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger noResponse = new AtomicInteger();

    SubmitWorkload(LocalCluster cluster, Violations violations, RandomGenerator random) {
        this.cluster = cluster;
        this.violations = violations;
        this.random = random;
    }

    @Override
    public void runRound() throws InterruptedException {
        String prompt = "pack " + nextPrompt.incrementAndGet() + " of " + System.nanoTime();
        String id = submit(prompt);
        if (id.isEmpty()) {
            Thread.sleep(200);
            return;
        }
        accepted.incrementAndGet();
        String expected = AnswerText.text("user: " + prompt + "\n", 0, TOKENS);
        Instant deadline = Instant.now().plus(COMPLETION_TIMEOUT);
        int offset = 0;
        String lastFailure = "";
        while (Instant.now().isBefore(deadline)) {
            ClusterHttpClient.HttpResult response = read(id, offset);
            if (response.status() == 200) {
                JsonNode part = json(response.body());
                if (!matchesExpected(part, expected, id)) {
                    return;
                }
                offset = Math.max(offset, part.path("next_offset").asInt());
                String state = part.path("state").asText();
                if (state.equals("done")) {
                    checkComplete(id, offset);
                    return;
                }
                lastFailure = state;
            } else {
                lastFailure = response.status() + " " + response.body();
            }
            Thread.sleep(100);
        }
        violations.add("P1 accepted request " + id + " not complete after 90 s: " + lastFailure);
    }

    private String submit(String prompt) {
        String body =
                """
                {"model": "lot-drafts", "max_tokens": %d,
                 "messages": [{"role": "user", "content": "%s"}]}
                """
                        .formatted(TOKENS, prompt);
        try {
            ClusterHttpClient.HttpResult response =
                    cluster.http()
                            .send(
                                    "POST",
                                    cluster.url(anyNode()) + "/v1/chat/completions",
                                    LocalCluster.CALLER_KEY,
                                    body,
                                    Map.of("Prefer", "respond-async"));
            if (response.status() == 202) {
                return json(response.body()).path("id").asText();
            }
            refused.incrementAndGet();
        } catch (IOException e) {
            noResponse.incrementAndGet();
        }
        return "";
    }

    private ClusterHttpClient.HttpResult read(String id, int offset) {
        String url = cluster.url(anyNode()) + "/v1/requests/" + id + "?wait_ms=500&offset=";
        try {
            return cluster.http().get(url + offset, LocalCluster.CALLER_KEY);
        } catch (IOException e) {
            return new ClusterHttpClient.HttpResult(0, e.toString());
        }
    }

    private boolean matchesExpected(JsonNode part, String expected, String id) {
        int from = part.path("offset").asInt() * CHARS_PER_TOKEN;
        String text = part.path("text").asText();
        boolean matches = expected.startsWith(text, Math.min(from, expected.length()));
        if (!matches) {
            violations.add("P2 request " + id + " at " + from + " got \"" + text + "\"");
        }
        return matches;
    }

    private void checkComplete(String id, int offset) {
        if (offset == TOKENS) {
            completed.incrementAndGet();
        } else {
            violations.add("P2 request " + id + " ended after " + offset + " tokens");
        }
    }

    private String anyNode() {
        var nodes = cluster.nodeNames();
        return nodes.get(random.nextInt(nodes.size()));
    }

    private JsonNode json(String text) {
        try {
            return cluster.http().json(text);
        } catch (IOException e) {
            throw new IllegalStateException("response is not JSON: " + text, e);
        }
    }

    @Override
    public void checkAfterFaults() {
        // Each round checks its own result.
    }

    @Override
    public String summary() {
        return "submitted drafts: "
                + accepted
                + " accepted, "
                + completed
                + " completed, "
                + refused
                + " refused, "
                + noResponse
                + " without a response";
    }
}
