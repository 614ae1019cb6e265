package org.carobdoor.node.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import okhttp3.Call;
import okhttp3.Response;
import okio.BufferedSource;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.jspecify.annotations.Nullable;

/** One open stream of tokens from a model engine. Closing it cancels the stream at the engine. */
public final class EngineCall implements AutoCloseable {
    private static final String DATA_PREFIX = "data:";
    private static final String DONE_MARKER = "[DONE]";
    private static final long MAX_LINE_BYTES = 1 << 20;

    private final ObjectMapper mapper;
    private final Call call;
    private final Response response;
    private final BufferedSource source;
    private final String peer;
    private String finishReason = "";

    EngineCall(ObjectMapper mapper, Call call, Response response, String peer) {
        this.mapper = mapper;
        this.call = call;
        this.response = response;
        this.source = response.body().source();
        this.peer = peer;
    }

    /**
     * Waits for the next event. No events follow an event other than {@link EngineEvent.Tokens}.
     */
    public EngineEvent next() {
        try {
            while (true) {
                long newline = source.indexOf((byte) '\n', 0, MAX_LINE_BYTES);
                if (newline < 0) {
                    return failure("the stream ended or a line exceeded " + MAX_LINE_BYTES + " B");
                }
                String line = source.readUtf8(newline);
                source.skip(1);
                EngineEvent event = parseLine(line.strip());
                if (event != null) {
                    return event;
                }
            }
        } catch (IOException e) {
            return failure(e.toString());
        }
    }

    private @Nullable EngineEvent parseLine(String line) throws JsonProcessingException {
        if (!line.startsWith(DATA_PREFIX)) {
            return null;
        }
        String data = line.substring(DATA_PREFIX.length()).strip();
        if (data.equals(DONE_MARKER)) {
            // A stream that ends without a finish reason was truncated by the engine.
            return finishReason.isEmpty()
                    ? failure("the engine ended the stream without a finish reason")
                    : new EngineEvent.Finished(finishReason);
        }
        JsonNode chunk = mapper.readTree(data);
        if (chunk.has("error")) {
            return failure("the engine reported an error: " + chunk.get("error"));
        }
        JsonNode choice = chunk.path("choices").path(0);
        finishReason = choice.path("finish_reason").asText(finishReason);
        if (finishReason.equals("null")) {
            finishReason = "";
        }
        String text =
                choice.has("delta")
                        ? choice.path("delta").path("content").asText("")
                        : choice.path("text").asText("");
        // An engine that sends several tokens in one chunk includes their number.
        int count = chunk.path("token_count").asInt(1);
        return text.isEmpty() ? null : new EngineEvent.Tokens(count, text);
    }

    private EngineEvent failure(String detail) {
        return new EngineEvent.Broken(
                new Failure(FailureKind.UNKNOWN, "engine.stream", peer, detail));
    }

    /**
     * Cancels the stream from any thread; the reading thread then receives {@link
     * EngineEvent.Broken}. Only the reading thread may close the call: closing a response while it
     * is being read corrupts its connection, which may then be reused by another call.
     */
    public void cancel() {
        call.cancel();
    }

    /** Cancels the stream if it has not ended, and releases its connection. */
    @Override
    public void close() {
        call.cancel();
        response.close();
    }
}
