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
 * Streams drafts. The received text must always be a prefix of the expected answer, and it must be
 * complete when the stream signals its end.
 */
final class StreamWorkload implements Workload {
    private static final int TOKENS = 100;

    private final LocalCluster cluster;
    private final ConnectionFaultWindows faultWindows;
    private final Violations violations;
    private final RandomGenerator random;
    private final AtomicInteger nextPrompt = new AtomicInteger();
    private final AtomicInteger completed = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unreachable = new AtomicInteger();
    private final AtomicInteger interrupted = new AtomicInteger();

    StreamWorkload(
            LocalCluster cluster,
            ConnectionFaultWindows faultWindows,
            Violations violations,
            RandomGenerator random) {
        this.faultWindows = faultWindows;
        this.cluster = cluster;
        this.violations = violations;
        this.random = random;
    }

    @Override
    public void runRound() throws InterruptedException {
        String prompt = "lot " + nextPrompt.incrementAndGet() + " of " + System.nanoTime();
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
            done = readText(r.body().source(), text);
        } catch (ConnectException e) {
            unreachable.incrementAndGet();
            Thread.sleep(200);
            return;
        } catch (IOException e) {
            // The connection broke, but the text received so far must still be correct.
            done = false;
        }
        if (!answered) {
            // The connection was closed before the response started: the daemon had stopped, and
            // the request was not accepted.
            unreachable.incrementAndGet();
            return;
        }
        if (!done && !faultWindows.overlaps(node, start)) {
            violations.add(
                    "P6 stream \""
                            + prompt
                            + "\" was interrupted at "
                            + node
                            + " after "
                            + text.length());
        }
        if (!expected.startsWith(text.toString())) {
            violations.add("P2 stream \"" + prompt + "\" got \"" + text + "\"");
        } else if (done && text.length() != expected.length()) {
            violations.add("P2 stream \"" + prompt + "\" ended early: \"" + text + "\"");
        }
        (done ? completed : interrupted).incrementAndGet();
    }

    private boolean readText(BufferedSource source, StringBuilder text) throws IOException {
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
    public void checkAfterFaults() {
        // Each round checks its own result.
    }

    @Override
    public String summary() {
        return "streams: "
                + completed
                + " completed, "
                + refused
                + " refused, "
                + unreachable
                + " not connected, "
                + interrupted
                + " interrupted by faults";
    }
}
