package org.carobdoor.node.http;

import io.jooby.Context;
import java.time.Duration;
import org.carobdoor.node.model.CompletionFormat;
import org.carobdoor.node.model.ModelRequest;
import org.jspecify.annotations.Nullable;

/**
 * Streams an answer as server-sent events. The response starts with the first tokens, so that a
 * request that fails earlier can still be answered with an error status.
 */
final class StreamingResponseWriter implements ResponseWriter {
    private final Context ctx;
    private final CompletionFormat.Header header;
    private final ModelRequest request;
    private final Duration writeTimeout;
    private CompletionFormat format;
    private String id = "";
    private @Nullable EventStream eventStream;
    private int tokens;

    StreamingResponseWriter(
            Context ctx,
            CompletionFormat.Header header,
            ModelRequest request,
            Duration writeTimeout) {
        this.ctx = ctx;
        this.header = header;
        this.request = request;
        this.writeTimeout = writeTimeout;
        this.format = new CompletionFormat(header, "");
    }

    @Override
    public void onAccepted(String requestId) {
        id = requestId;
        format = new CompletionFormat(header, requestId);
    }

    private EventStream openStream() {
        EventStream stream = eventStream;
        if (stream == null) {
            // After a lost connection, the caller can read the rest at /v1/requests/{id} on any
            // node.
            ctx.setResponseHeader("X-Request-Id", id);
            stream = new EventStream(ctx, writeTimeout);
            eventStream = stream;
            if (request.chat()) {
                stream.send(format.roleChunk());
            }
        }
        return stream;
    }

    @Override
    public boolean write(int tokenCount, String text) {
        tokens += tokenCount;
        return openStream().send(format.chunk(text));
    }

    @Override
    public String finish() {
        EventStream stream = openStream();
        stream.send(format.lastChunk(tokens >= request.maxTokens() ? "length" : "stop"));
        if (request.body().path("stream_options").path("include_usage").asBoolean()) {
            stream.send(format.usageChunk(request.estimatedPromptTokens(), tokens));
        }
        stream.send("[DONE]");
        return "";
    }

    @Override
    public boolean writeProblem(Problem problem) {
        EventStream stream = eventStream;
        if (stream == null) {
            return false;
        }
        stream.send(problem.toJson().toString());
        return true;
    }

    @Override
    public void close() {
        EventStream stream = eventStream;
        if (stream != null) {
            stream.close();
        }
    }
}
