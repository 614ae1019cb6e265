package org.carobdoor.node.http;

import io.jooby.Context;
import io.jooby.Jooby;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.UUID;
import org.carobdoor.ClientAccount;
import org.carobdoor.Failure;
import org.carobdoor.Result;
import org.carobdoor.RunState;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.node.endpoint.EngineEvent;
import org.carobdoor.node.metrics.NodeMetrics;
import org.carobdoor.node.model.AnswerFormat;
import org.carobdoor.node.model.ModelCalls;
import org.carobdoor.node.model.ModelRequest;
import org.carobdoor.node.model.ModelRequestParser;
import org.carobdoor.node.model.ResumingStream;

/** The OpenAI-compatible routes. */
public final class ModelRoutes {
    private static final int BAD_REQUEST = 400;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final CallerGuard guard;
    private final ModelRequestParser parser;
    private final ModelCalls models;
    private final NodeMetrics metrics;
    private final InstantSource clock;
    private final Duration writeTimeout;

    /** Creates the routes. */
    public ModelRoutes(
            CallerGuard guard,
            ModelRequestParser parser,
            ModelCalls models,
            NodeMetrics metrics,
            InstantSource clock,
            Duration writeTimeout) {
        this.guard = guard;
        this.parser = parser;
        this.models = models;
        this.metrics = metrics;
        this.clock = clock;
        this.writeTimeout = writeTimeout;
    }

    /** Adds the routes to {@code app}. */
    public void install(Jooby app) {
        app.post("/v1/chat/completions", ctx -> complete(ctx, true));
        app.post("/v1/completions", ctx -> complete(ctx, false));
    }

    private Context complete(Context ctx, boolean chat) {
        ClientAccount account = guard.authenticate(ctx);
        try (CallerGuard.InFlight request = guard.begin()) {
            return complete(ctx, chat, account);
        }
    }

    private Context complete(Context ctx, boolean chat, ClientAccount account) {
        Instant start = clock.instant();
        Instant deadline = guard.deadline(ctx);
        ModelRequest request = parse(ctx, chat, account);
        CatalogueEntry entry = guard.modelEntry(request.entry(), account);
        String id = (chat ? "chatcmpl-" : "cmpl-") + UUID.randomUUID();
        AnswerFormat format = new AnswerFormat(chat, id, entry.name(), start);
        try (ResumingStream stream = models.open(entry, request, "", 0, deadline)) {
            EngineEvent first = stream.next();
            if (first instanceof EngineEvent.Broken b) {
                throw failed(entry, b.failure());
            }
            double seconds = Duration.between(start, clock.instant()).toNanos() / 1e9;
            metrics.firstToken(entry.name(), seconds);
            if (request.body().path("stream").asBoolean()) {
                stream(ctx, entry, request, format, stream, first);
            } else {
                answerWhole(ctx, entry, request, format, stream, first);
            }
        }
        return ctx;
    }

    private ModelRequest parse(Context ctx, boolean chat, ClientAccount account) {
        return switch (parser.parse(ctx.body().bytes(), chat, account)) {
            case Result.Ok<ModelRequest>(var request) -> request;
            case Result.Err<ModelRequest>(var failure) ->
                    throw new ProblemException(
                            Problem.notRun(BAD_REQUEST, "bad-request", failure.detail()));
        };
    }

    private void stream(
            Context ctx,
            CatalogueEntry entry,
            ModelRequest request,
            AnswerFormat format,
            ResumingStream stream,
            EngineEvent first) {
        try (EventStream out = new EventStream(ctx, writeTimeout)) {
            if (request.chat()) {
                out.send(format.roleChunk());
            }
            EngineEvent event = first;
            int tokens = 0;
            while (event instanceof EngineEvent.Tokens t) {
                if (!out.send(format.chunk(t.text()))) {
                    metrics.request(entry.name(), "caller_gone");
                    return;
                }
                tokens += t.count();
                metrics.tokens(entry.name(), t.count());
                event = stream.next();
            }
            end(out, entry, request, format, event, tokens);
        }
    }

    private void end(
            EventStream out,
            CatalogueEntry entry,
            ModelRequest request,
            AnswerFormat format,
            EngineEvent event,
            int tokens) {
        if (event instanceof EngineEvent.Finished f) {
            out.send(format.lastChunk(f.reason()));
            if (request.body().path("stream_options").path("include_usage").asBoolean()) {
                out.send(format.usageChunk(request.promptTokens(), tokens));
            }
            out.send("[DONE]");
            metrics.request(entry.name(), RunState.RAN.label());
        } else if (event instanceof EngineEvent.Broken b) {
            // The response has started, so the problem is the last event of the stream.
            out.send(problemOf(b.failure()).toJson().toString());
            metrics.request(entry.name(), RunState.UNKNOWN.label());
        }
    }

    private void answerWhole(
            Context ctx,
            CatalogueEntry entry,
            ModelRequest request,
            AnswerFormat format,
            ResumingStream stream,
            EngineEvent first) {
        StringBuilder text = new StringBuilder();
        int tokens = 0;
        EngineEvent event = first;
        while (event instanceof EngineEvent.Tokens t) {
            text.append(t.text());
            tokens += t.count();
            event = stream.next();
        }
        if (event instanceof EngineEvent.Broken b) {
            throw failed(entry, b.failure());
        }
        String reason = event instanceof EngineEvent.Finished f ? f.reason() : "stop";
        metrics.tokens(entry.name(), tokens);
        metrics.request(entry.name(), RunState.RAN.label());
        ctx.setResponseType("application/json");
        String json = format.whole(text.toString(), reason, request.promptTokens(), tokens);
        ctx.send(json.getBytes(StandardCharsets.UTF_8));
    }

    private ProblemException failed(CatalogueEntry entry, Failure failure) {
        Problem problem = problemOf(failure);
        metrics.request(entry.name(), problem.runState().label());
        return new ProblemException(problem);
    }

    private static Problem problemOf(Failure failure) {
        return switch (failure.kind()) {
            case NOT_DONE -> Problem.notRun(SERVICE_UNAVAILABLE, "no-endpoint", failure.toString());
            case REJECTED ->
                    new Problem(
                            BAD_REQUEST, "rejected-by-engine", failure.toString(), RunState.RAN);
            case UNKNOWN, CONFLICT ->
                    Problem.unknown(BAD_GATEWAY, "endpoint-failed", failure.toString());
        };
    }
}
