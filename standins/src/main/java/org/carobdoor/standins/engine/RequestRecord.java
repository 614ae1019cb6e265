package org.carobdoor.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.carobdoor.standins.http.Json;

/** An entry of an engine's request log. */
final class RequestRecord {
    private final long sequence;
    private final long receivedAtMillis;
    private final String requestId;
    private final GenerationRequest request;
    private volatile String state = "received";
    private volatile int promptTokens;
    private volatile int cachedTokens;
    private volatile int generatedTokens;

    RequestRecord(
            long sequence, long receivedAtMillis, String requestId, GenerationRequest request) {
        this.sequence = sequence;
        this.receivedAtMillis = receivedAtMillis;
        this.requestId = requestId;
        this.request = request;
    }

    GenerationRequest request() {
        return request;
    }

    long sequence() {
        return sequence;
    }

    void setState(String value) {
        state = value;
    }

    void setPrompt(int tokens, int cached) {
        promptTokens = tokens;
        cachedTokens = cached;
    }

    void setGenerated(int tokens) {
        generatedTokens = tokens;
    }

    ObjectNode usage() {
        ObjectNode usage =
                Json.object()
                        .put("prompt_tokens", promptTokens)
                        .put("completion_tokens", generatedTokens)
                        .put("total_tokens", promptTokens + generatedTokens);
        usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
        return usage;
    }

    ObjectNode toJson() {
        return Json.object()
                .put("sequence", sequence)
                .put("receivedAtMillis", receivedAtMillis)
                .put("requestId", requestId)
                .put("model", request.model())
                .put("prompt", request.prompt())
                .put("resumeTokens", request.resumeTokens())
                .put("maxTokens", request.maxTokens())
                .put("state", state)
                .put("promptTokens", promptTokens)
                .put("cachedTokens", cachedTokens)
                .put("generatedTokens", generatedTokens);
    }
}
