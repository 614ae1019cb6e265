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
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";
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

    /** Waits for the next event. After an event other than tokens there are no more. */
    public EngineEvent next() {
        try {
            while (true) {
                long newline = source.indexOf((byte) '\n', 0, MAX_LINE_BYTES);
                if (newline < 0) {
                    return broken("the stream ended or a line exceeded " + MAX_LINE_BYTES + " B");
                }
                String line = source.readUtf8(newline);
                source.skip(1);
                EngineEvent event = parse(line.strip());
                if (event != null) {
                    return event;
                }
            }
        } catch (IOException e) {
            return broken(e.toString());
        }
    }

    private @Nullable EngineEvent parse(String line) throws JsonProcessingException {
        if (!line.startsWith(DATA)) {
            return null;
        }
        String data = line.substring(DATA.length()).strip();
        if (data.equals(DONE)) {
            // A stream that ends without a finish reason was cut off by the engine.
            return finishReason.isEmpty()
                    ? broken("the engine ended the stream without a finish reason")
                    : new EngineEvent.Finished(finishReason);
        }
        JsonNode chunk = mapper.readTree(data);
        if (chunk.has("error")) {
            return broken("the engine reported: " + chunk.get("error"));
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
        // An engine that sends several tokens in one chunk says how many.
        int count = chunk.path("token_count").asInt(1);
        return text.isEmpty() ? null : new EngineEvent.Tokens(count, text);
    }

    private EngineEvent broken(String detail) {
        return new EngineEvent.Broken(
                new Failure(FailureKind.UNKNOWN, "engine.stream", peer, detail));
    }

    /**
     * Cancels the stream from any thread; the reading thread then gets a broken event. Only that
     * thread may close the call: a response that is closed while it is read leaves its connection
     * unusable, and the connection could serve another call.
     */
    public void cancel() {
        call.cancel();
    }

    /** Cancels the stream if it has not ended, and frees its connection. */
    @Override
    public void close() {
        call.cancel();
        response.close();
    }
}
