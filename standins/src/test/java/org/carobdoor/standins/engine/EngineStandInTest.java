package org.carobdoor.standins.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.carobdoor.standins.TestHttp;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against responses that do not identify their request, and against faults, fencing and
 * cache events that differ from those of a real engine.
 */
final class EngineStandInTest {
    private static final String PROMPT =
            "one two three four five six seven eight nine ten ".repeat(4);

    private final TestHttp http = new TestHttp();
    private final EngineStandIn engine =
            EngineStandIn.start(
                    EngineOptions.defaults()
                            .models("m")
                            .tokenMillis(1)
                            .lagMillis(0, 0)
                            .eventGapEvery(3)
                            .cacheBlocks(4));

    @AfterEach
    void close() {
        engine.close();
        http.close();
    }

    @Test
    void responseDependsOnlyOnThePrompt() throws Exception {
        var chat = "{'model':'m','max_tokens':5,'messages':[{'role':'user','content':'hay'}]}";
        JsonNode response = http.post(engine.url() + "/v1/chat/completions", chat).json();
        assertThat(response.at("/choices/0/message/content").asText())
                .isEqualTo(AnswerText.text("user: hay\n", 0, 5));
        assertThat(response.at("/usage/completion_tokens").asInt()).isEqualTo(5);
    }

    @Test
    void streamResumesAfterTheEarlierPart() throws Exception {
        String earlier = AnswerText.text(PROMPT, 0, 3);
        String events =
                post("'stream':true,'max_tokens':8,'resume_tokens':3,'resume_text':'%s'"
                                .formatted(earlier))
                        .body();
        var text = new StringBuilder();
        for (String line : events.strip().split("\n\n", -1)) {
            if (!line.equals("data: [DONE]")) {
                assertThat(line).startsWith("data: ");
                text.append(TestHttp.json(line.substring(6)).at("/choices/0/text").asText());
            }
        }
        assertThat(earlier + text).isEqualTo(AnswerText.text(PROMPT, 0, 8));
        assertThat(events).contains("\"usage\"");
        assertThat(events).endsWith("data: [DONE]\n\n");
    }

    @Test
    void invalidEarlierPartIsRejected() throws Exception {
        var response = post("'max_tokens':8,'resume_tokens':1,'resume_text':'other '");
        assertThat(response.status()).isEqualTo(400);
    }

    @Test
    void prefixIsCachedAndCacheEventsHaveGaps() throws Exception {
        post("'max_tokens':1");
        JsonNode second = post("'max_tokens':1").json();
        assertThat(second.at("/usage/prompt_tokens_details/cached_tokens").asInt()).isEqualTo(32);
        post("'max_tokens':60");
        JsonNode events = http.get(engine.url() + "/cache-events?after=0").json().path("events");
        assertThat(events.findValuesAsText("sequence")).doesNotContain("3");
        assertThat(events.findValuesAsText("kind")).contains("evicted");
    }

    @Test
    void clientDisconnectCancelsTheRequest() throws Exception {
        String body = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":100000}";
        try (var socket = new Socket(InetAddress.getLoopbackAddress(), engine.port())) {
            String head =
                    "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            waitForState("running");
        }
        waitForState("cancelled");
        assertThat(http.get(engine.url() + "/load").json().path("running").asInt()).isEqualTo(0);
    }

    @Test
    void silencedRequestsGetNoResponseWhileNewOnesDo() throws Exception {
        var open =
                Thread.ofVirtual()
                        .unstarted(
                                () ->
                                        assertThrows(
                                                java.io.IOException.class,
                                                () -> post("'max_tokens':100000")));
        open.start();
        waitForState("running");
        engine.changeFaults(TestHttp.json("{'silenceOpen': true}"));
        waitForState("silent");
        assertThat(post("'max_tokens':1").status()).isEqualTo(200);
        assertThat(open.isAlive()).isTrue();
    }

    @Test
    void closingTheEngineInterruptsItsStreams() throws Exception {
        engine.changeFaults(TestHttp.json("{'tokenMillis': 60000}"));
        var broken = new CompletableFuture<Boolean>();
        Thread.startVirtualThread(
                () -> {
                    try {
                        String body = post("'stream':true,'max_tokens':3000").body();
                        broken.complete(!body.contains("[DONE]"));
                    } catch (Exception e) {
                        broken.complete(true);
                    }
                });
        waitForState("running");
        engine.close();
        assertThat(broken.get(10, TimeUnit.SECONDS)).isTrue();
        assertThat(engine.requestLog().at("/requests/0/generatedTokens").asInt()).isEqualTo(0);
    }

    @Test
    void ordersWithAnOldFencingNumberAreRejectedUnlessFencingIsIgnored() throws Exception {
        assertThat(order(7, "load_model").status()).isEqualTo(200);
        assertThat(order(6, "unload_model").status()).isEqualTo(409);
        engine.changeFaults(TestHttp.json("{'ignoreFencing': true}"));
        assertThat(order(6, "unload_model").status()).isEqualTo(200);
    }

    @Test
    void importedCacheAvoidsThePrefill() throws Exception {
        post("'max_tokens':1");
        var exported = http.post(engine.url() + "/kv-cache/export", "{'prompt':'" + PROMPT + "'}");
        try (var other = EngineStandIn.start(EngineOptions.defaults().models("m"))) {
            http.post(other.url() + "/kv-cache/import", exported.body());
            String body = "{'model':'m','max_tokens':1,'prompt':'" + PROMPT + "'}";
            JsonNode response = http.post(other.url() + "/v1/completions", body).json();
            int cached = response.at("/usage/prompt_tokens_details/cached_tokens").asInt();
            assertThat(cached).isEqualTo(32);
        }
    }

    private TestHttp.Response post(String fields) throws Exception {
        String body = "{'model':'m','prompt':'" + PROMPT + "'," + fields + "}";
        return http.post(engine.url() + "/v1/completions", body);
    }

    private TestHttp.Response order(long fencing, String action) throws Exception {
        String body = "{'fencing':%d,'action':'%s','model':'n'}".formatted(fencing, action);
        return http.post(engine.url() + "/orders", body);
    }

    private void waitForState(String state) throws Exception {
        Instant deadline = Instant.now().plus(Duration.ofSeconds(5));
        while (!engine.requestLog().at("/requests/0/state").asText().equals(state)) {
            assertThat(Instant.now()).isLessThan(deadline);
            Thread.sleep(2);
        }
    }
}
