package org.carobdoor.node.http;

import io.jooby.Context;
import io.jooby.Jooby;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.carobdoor.ClientAccount;
import org.carobdoor.Failure;
import org.carobdoor.Result;
import org.carobdoor.RunState;
import org.carobdoor.internal.burn.Cause;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.node.admission.RequestGate;
import org.carobdoor.node.admission.RequestScope;
import org.carobdoor.node.execution.PayloadCodec;
import org.carobdoor.node.execution.UsageBook;
import org.carobdoor.node.execution.WorkPayload;
import org.carobdoor.node.metrics.NodeMetrics;
import org.carobdoor.node.model.AnswerFormat;
import org.carobdoor.node.model.ModelRequest;
import org.carobdoor.node.model.ModelRequestParser;
import org.carobdoor.node.work.AnswerPart;
import org.carobdoor.node.work.WorkService;
import org.carobdoor.node.work.WorkSpec;

/** The OpenAI-compatible routes. */
public final class ModelRoutes {
    private static final int BAD_REQUEST = 400;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final CallerGuard guard;
    private final ModelRequestParser parser;
    private final RequestGate gate;
    private final WorkService work;
    private final AcceptedRoutes accepted;
    private final PayloadCodec codec;
    private final UsageBook usage;
    private final NodeMetrics metrics;
    private final InstantSource clock;
    private final Duration writeTimeout;

    /** Creates the routes. */
    public ModelRoutes(
            CallerGuard guard,
            ModelRequestParser parser,
            RequestGate gate,
            WorkService work,
            AcceptedRoutes accepted,
            PayloadCodec codec,
            UsageBook usage,
            NodeMetrics metrics,
            InstantSource clock,
            Duration writeTimeout) {
        this.guard = guard;
        this.parser = parser;
        this.gate = gate;
        this.work = work;
        this.accepted = accepted;
        this.codec = codec;
        this.usage = usage;
        this.metrics = metrics;
        this.clock = clock;
        this.writeTimeout = writeTimeout;
    }

    /** Adds the routes to {@code app}. */
    public void install(Jooby app) {
        app.post("/v1/chat/completions", ctx -> complete(ctx, true));
        app.post("/v1/completions", ctx -> complete(ctx, false));
    }

    private Context complete(Context ctx, boolean chat) throws InterruptedException {
        ClientAccount account = guard.authenticate(ctx);
        try (CallerGuard.InFlight inFlight = guard.begin()) {
            Instant deadline = guard.deadline(ctx);
            BodyTypes.checkNoForm(ctx);
            ModelRequest request = parse(ctx, chat, account);
            CatalogueEntry entry = guard.modelEntry(request.entry(), account);
            WorkSpec spec =
                    new WorkSpec(
                            entry.name(),
                            codec.encode(new WorkPayload.Model(request)),
                            true,
                            deadline);
            try (RequestScope scope = Gates.enter(gate, entry, deadline)) {
                if (AcceptedRoutes.isSubmission(ctx)) {
                    return accepted.submit(ctx, spec);
                }
                serve(ctx, entry, request, spec, scope);
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

    private void serve(
            Context ctx,
            CatalogueEntry entry,
            ModelRequest request,
            WorkSpec spec,
            RequestScope scope) {
        boolean streamed = request.body().path("stream").asBoolean();
        AnswerFormat.Header header =
                new AnswerFormat.Header(request.chat(), entry.name(), clock.instant());
        try (AnswerWriter writer =
                streamed
                        ? new StreamedAnswer(ctx, header, request, writeTimeout)
                        : new WholeAnswer(header, request)) {
            CallerSink sink = new CallerSink(writer, scope, usage);
            Result<AnswerPart> last = work.stream(spec, sink);
            sink.recordUsage();
            finish(ctx, entry, writer, sink, last, spec.deadline(), scope);
        }
    }

    private void finish(
            Context ctx,
            CatalogueEntry entry,
            AnswerWriter writer,
            CallerSink sink,
            Result<AnswerPart> last,
            Instant deadline,
            RequestScope scope) {
        if (sink.isCallerGone()) {
            metrics.request(entry.name(), "caller_gone");
            return;
        }
        if (last instanceof Result.Ok<AnswerPart>(var part)
                && part.state() == AnswerPart.State.DONE) {
            metrics.request(entry.name(), RunState.RAN.label());
            String whole = writer.finish();
            if (!whole.isEmpty()) {
                ctx.setResponseType("application/json");
                ctx.send(whole.getBytes(StandardCharsets.UTF_8));
            }
            return;
        }
        boolean late = !clock.instant().isBefore(deadline);
        scope.onFailure(late ? Cause.DEADLINE : Cause.ENGINE);
        Problem problem = problemOf(last, sink);
        metrics.request(entry.name(), problem.runState().label());
        if (!writer.fail(problem)) {
            throw new ProblemException(problem);
        }
    }

    private Problem problemOf(Result<AnswerPart> last, CallerSink sink) {
        if (last instanceof Result.Err<AnswerPart>(Failure failure)) {
            return sink.id().isEmpty()
                    ? AcceptedRoutes.refusal(failure)
                    : Problem.unknown(BAD_GATEWAY, "endpoint-failed", failure.toString());
        }
        String detail = "no endpoint completed the answer";
        return switch (work.failureRunState(sink.id())) {
            case NOT_RUN -> Problem.notRun(SERVICE_UNAVAILABLE, "no-endpoint", detail);
            case RAN ->
                    new Problem(
                            BAD_REQUEST,
                            "rejected-by-engine",
                            "the engine found the request invalid",
                            RunState.RAN);
            case UNKNOWN -> Problem.unknown(BAD_GATEWAY, "endpoint-failed", detail);
        };
    }
}
