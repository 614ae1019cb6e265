package org.carobdoor.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.carobdoor.bench.cluster.LocalCluster;
import org.carobdoor.standins.engine.AnswerText;

/**
 * Streams drafts: the text must be a prefix of the right answer at all times, and whole when the
 * stream says that it is done.
 */
final class StreamWorkload implements Workload {
    private static final int TOKENS = 100;

    private final LocalCluster cluster;
    private final BrokenNodes broken;
    private final Violations violations;
    private final RandomGenerator random;
    private final AtomicInteger next = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unreachable = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();

    StreamWorkload(
            LocalCluster cluster,
            BrokenNodes broken,
            Violations violations,
            RandomGenerator random) {
        this.broken = broken;
        this.cluster = cluster;
        this.violations = violations;
        this.random = random;
    }

    @Override
    public void round() throws InterruptedException {
        String prompt = "lot " + next.incrementAndGet() + " of " + System.nanoTime();
        String expected = AnswerText.text("user: " + prompt + "\n", 0, TOKENS);
        var nodes = cluster.nodeNames();
        String node = nodes.get(random.nextInt(nodes.size()));
        StringBuilder text = new StringBuilder();
        boolean done = false;
        boolean answered = false;
        Instant start = Instant.now();
        try (Response r = cluster.http().client().newCall(request(node, prompt)).execute()) {
            if (r.code() != 200) {
                refused.incrementAndGet();
                Thread.sleep(200);
                return;
            }
            answered = true;
            done = read(r.body().source(), text);
        } catch (ConnectException e) {
            unreachable.incrementAndGet();
            Thread.sleep(200);
            return;
        } catch (IOException e) {
            // The node was lost with the connection; what has arrived must still be right.
            done = false;
        }
        if (!answered) {
            // Its connection was closed before the response began: the daemon was gone by then,
            // and nothing was accepted.
            unreachable.incrementAndGet();
            return;
        }
        if (!done && !broken.explains(node, start)) {
            violations.add(
                    "P6 stream \""
                            + prompt
                            + "\" was cut off at "
                            + node
                            + " after "
                            + text.length());
        }
        if (!expected.startsWith(text.toString())) {
            violations.add("P2 stream \"" + prompt + "\" got \"" + text + "\"");
        } else if (done && text.length() != expected.length()) {
            violations.add("P2 stream \"" + prompt + "\" ended early: \"" + text + "\"");
        }
        (done ? whole : cut).incrementAndGet();
    }

    private boolean read(BufferedSource source, StringBuilder text) throws IOException {
        String line = source.readUtf8Line();
        while (line != null) {
            if (line.equals("data: [DONE]")) {
                return true;
            }
            if (line.startsWith("data: {")) {
                JsonNode chunk = cluster.http().json(line.substring("data: ".length()));
                text.append(chunk.path("choices").path(0).path("delta").path("content").asText());
            }
            line = source.readUtf8Line();
        }
        return false;
    }

    private Request request(String node, String prompt) {
        String body =
                """
                {"model": "lot-drafts", "stream": true, "max_tokens": %d,
                 "messages": [{"role": "user", "content": "%s"}]}
                """
                        .formatted(TOKENS, prompt);
        return new Request.Builder()
                .url(cluster.url(node) + "/v1/chat/completions")
                .header("Authorization", "Bearer " + LocalCluster.CALLER_KEY)
                .post(RequestBody.create(body, MediaType.get("application/json")))
                .build();
    }

    @Override
    public void checkAtEnd() {
        // Each round ends with its own check.
    }

    @Override
    public String summary() {
        return "streams: "
                + whole
                + " whole, "
                + refused
                + " refused, "
                + unreachable
                + " not connected, "
                + cut
                + " cut off by faults";
    }
}
