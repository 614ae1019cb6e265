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
 * Submits drafts and reads their answers from an offset, each time at another node: the text must
 * grow along the one right answer and must be whole in the end.
 */
final class SubmitWorkload implements Workload {
    private static final int TOKENS = 200;
    private static final int CHARS_PER_TOKEN = 7;
    private static final Duration GIVE_UP = Duration.ofSeconds(90);

    private final LocalCluster cluster;
    private final Violations violations;
    private final RandomGenerator random;
    private final AtomicInteger next = new AtomicInteger();
    private final AtomicInteger accepted = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unclear = new AtomicInteger();

    SubmitWorkload(LocalCluster cluster, Violations violations, RandomGenerator random) {
        this.cluster = cluster;
        this.violations = violations;
        this.random = random;
    }

    @Override
    public void round() throws InterruptedException {
        String prompt = "pack " + next.incrementAndGet() + " of " + System.nanoTime();
        String id = submit(prompt);
        if (id.isEmpty()) {
            Thread.sleep(200);
            return;
        }
        accepted.incrementAndGet();
        String expected = AnswerText.text("user: " + prompt + "\n", 0, TOKENS);
        Instant giveUp = Instant.now().plus(GIVE_UP);
        int offset = 0;
        String problem = "";
        while (Instant.now().isBefore(giveUp)) {
            ClusterHttpClient.HttpResult a = read(id, offset);
            if (a.status() == 200) {
                JsonNode part = json(a.body());
                if (!agrees(part, expected, id)) {
                    return;
                }
                offset = Math.max(offset, part.path("next_offset").asInt());
                String state = part.path("state").asText();
                if (state.equals("done")) {
                    checkWhole(id, offset);
                    return;
                }
                problem = state;
            } else {
                problem = a.status() + " " + a.body();
            }
            Thread.sleep(100);
        }
        violations.add("P1 accepted request " + id + " not whole after 90 s: " + problem);
    }

    private String submit(String prompt) {
        String body =
                """
                {"model": "lot-drafts", "max_tokens": %d,
                 "messages": [{"role": "user", "content": "%s"}]}
                """
                        .formatted(TOKENS, prompt);
        try {
            ClusterHttpClient.HttpResult a =
                    cluster.http()
                            .send(
                                    "POST",
                                    cluster.url(anyNode()) + "/v1/chat/completions",
                                    LocalCluster.CALLER_KEY,
                                    body,
                                    Map.of("Prefer", "respond-async"));
            if (a.status() == 202) {
                return json(a.body()).path("id").asText();
            }
            refused.incrementAndGet();
        } catch (IOException e) {
            unclear.incrementAndGet();
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

    private boolean agrees(JsonNode part, String expected, String id) {
        int from = part.path("offset").asInt() * CHARS_PER_TOKEN;
        String text = part.path("text").asText();
        boolean agrees = expected.startsWith(text, Math.min(from, expected.length()));
        if (!agrees) {
            violations.add("P2 request " + id + " at " + from + " got \"" + text + "\"");
        }
        return agrees;
    }

    private void checkWhole(String id, int offset) {
        if (offset == TOKENS) {
            whole.incrementAndGet();
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
            throw new IllegalStateException("not JSON: " + text, e);
        }
    }

    @Override
    public void checkAtEnd() {
        // Each round ends with its own check.
    }

    @Override
    public String summary() {
        return "submitted drafts: "
                + accepted
                + " accepted, "
                + whole
                + " whole, "
                + refused
                + " refused, "
                + unclear
                + " without an answer";
    }
}
