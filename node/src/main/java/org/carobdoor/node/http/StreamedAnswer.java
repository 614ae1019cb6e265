package org.carobdoor.node.http;

import io.jooby.Context;
import java.time.Duration;
import org.carobdoor.node.model.AnswerFormat;
import org.carobdoor.node.model.ModelRequest;
import org.jspecify.annotations.Nullable;

/**
 * Streams an answer as server-sent events. The response starts with the first tokens, so that a
 * request which fails before them gets a status of its own.
 */
final class StreamedAnswer implements AnswerWriter {
    private final Context ctx;
    private final AnswerFormat.Header header;
    private final ModelRequest request;
    private final Duration writeTimeout;
    private AnswerFormat format;
    private String id = "";
    private @Nullable EventStream out;
    private int tokens;

    StreamedAnswer(
            Context ctx, AnswerFormat.Header header, ModelRequest request, Duration writeTimeout) {
        this.ctx = ctx;
        this.header = header;
        this.request = request;
        this.writeTimeout = writeTimeout;
        this.format = new AnswerFormat(header, "");
    }

    @Override
    public void accepted(String requestId) {
        id = requestId;
        format = new AnswerFormat(header, requestId);
    }

    private EventStream start() {
        EventStream started = out;
        if (started == null) {
            // A caller whose connection breaks reads on at /v1/requests/{id}, at any node.
            ctx.setResponseHeader("X-Request-Id", id);
            started = new EventStream(ctx, writeTimeout);
            out = started;
            if (request.chat()) {
                started.send(format.roleChunk());
            }
        }
        return started;
    }

    @Override
    public boolean write(int count, String text) {
        tokens += count;
        return start().send(format.chunk(text));
    }

    @Override
    public String finish() {
        EventStream stream = start();
        stream.send(format.lastChunk(tokens >= request.maxTokens() ? "length" : "stop"));
        if (request.body().path("stream_options").path("include_usage").asBoolean()) {
            stream.send(format.usageChunk(request.promptTokens(), tokens));
        }
        stream.send("[DONE]");
        return "";
    }

    @Override
    public boolean fail(Problem problem) {
        EventStream stream = out;
        if (stream == null) {
            return false;
        }
        stream.send(problem.toJson().toString());
        return true;
    }

    @Override
    public void close() {
        EventStream stream = out;
        if (stream != null) {
            stream.close();
        }
    }
}
