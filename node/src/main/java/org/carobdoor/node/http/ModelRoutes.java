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
import org.carobdoor.internal.burn.MissCause;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.node.admission.AdmissionController;
import org.carobdoor.node.admission.RequestAccounting;
import org.carobdoor.node.execution.PayloadCodec;
import org.carobdoor.node.execution.UsageTracker;
import org.carobdoor.node.execution.WorkPayload;
import org.carobdoor.node.metrics.NodeMetrics;
import org.carobdoor.node.model.CompletionFormat;
import org.carobdoor.node.model.ModelRequest;
import org.carobdoor.node.model.ModelRequestParser;
import org.carobdoor.node.work.AnswerPart;
import org.carobdoor.node.work.WorkService;
import org.carobdoor.node.work.WorkSpec;

/** The OpenAI-compatible completion routes. */
public final class ModelRoutes {
    private static final int BAD_REQUEST = 400;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final RequestPreconditions preconditions;
    private final ModelRequestParser parser;
    private final AdmissionController admission;
    private final WorkService work;
    private final AsyncRequestRoutes asyncRequests;
    private final PayloadCodec codec;
    private final UsageTracker usage;
    private final NodeMetrics metrics;
    private final InstantSource clock;
    private final Duration writeTimeout;

    /** Creates the routes. */
    public ModelRoutes(
            RequestPreconditions preconditions,
            ModelRequestParser parser,
            AdmissionController admission,
            WorkService work,
            AsyncRequestRoutes asyncRequests,
            PayloadCodec codec,
            UsageTracker usage,
            NodeMetrics metrics,
            InstantSource clock,
            Duration writeTimeout) {
        this.preconditions = preconditions;
        this.parser = parser;
        this.admission = admission;
        this.work = work;
        this.asyncRequests = asyncRequests;
        this.codec = codec;
        this.usage = usage;
        this.metrics = metrics;
        this.clock = clock;
        this.writeTimeout = writeTimeout;
    }

    /** Registers the routes with {@code app}. */
    public void install(Jooby app) {
        app.post("/v1/chat/completions", ctx -> complete(ctx, true));
        app.post("/v1/completions", ctx -> complete(ctx, false));
    }

    private Context complete(Context ctx, boolean chat) throws InterruptedException {
        ClientAccount account = preconditions.authenticate(ctx);
        try (RequestPreconditions.InFlightRequest inFlight = preconditions.beginRequest()) {
            Instant deadline = preconditions.deadline(ctx);
            FormBodyCheck.rejectForm(ctx);
            ModelRequest request = parse(ctx, chat, account);
            CatalogueEntry entry = preconditions.modelEntry(request.entry(), account);
            WorkSpec spec =
                    new WorkSpec(
                            entry.name(),
                            codec.encode(new WorkPayload.Model(request)),
                            true,
                            deadline);
            try (RequestAccounting accounting = AdmissionChecks.admit(admission, entry, deadline)) {
                if (AsyncRequestRoutes.prefersAsync(ctx)) {
                    return asyncRequests.submit(ctx, spec);
                }
                serve(ctx, entry, request, spec, accounting);
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
            RequestAccounting accounting) {
        boolean streaming = request.body().path("stream").asBoolean();
        CompletionFormat.Header header =
                new CompletionFormat.Header(request.chat(), entry.name(), clock.instant());
        try (ResponseWriter writer =
                streaming
                        ? new StreamingResponseWriter(ctx, header, request, writeTimeout)
                        : new BufferedResponseWriter(header, request)) {
            ResponseSink sink = new ResponseSink(writer, accounting, usage);
            Result<AnswerPart> last = work.stream(spec, sink);
            sink.recordUsage();
            finish(ctx, entry, writer, sink, last, spec.deadline(), accounting);
        }
    }

    private void finish(
            Context ctx,
            CatalogueEntry entry,
            ResponseWriter writer,
            ResponseSink sink,
            Result<AnswerPart> last,
            Instant deadline,
            RequestAccounting accounting) {
        if (sink.isCallerDisconnected()) {
            metrics.request(entry.name(), "caller_gone");
            return;
        }
        if (last instanceof Result.Ok<AnswerPart>(var part)
                && part.state() == AnswerPart.State.DONE) {
            metrics.request(entry.name(), RunState.RAN.label());
            String body = writer.finish();
            if (!body.isEmpty()) {
                ctx.setResponseType("application/json");
                ctx.send(body.getBytes(StandardCharsets.UTF_8));
            }
            return;
        }
        boolean deadlineExceeded = !clock.instant().isBefore(deadline);
        accounting.onFailure(deadlineExceeded ? MissCause.DEADLINE : MissCause.ENGINE);
        Problem problem = problemOf(last, sink);
        metrics.request(entry.name(), problem.runState().label());
        if (!writer.writeProblem(problem)) {
            throw new ProblemException(problem);
        }
    }

    private Problem problemOf(Result<AnswerPart> last, ResponseSink sink) {
        if (last instanceof Result.Err<AnswerPart>(Failure failure)) {
            return sink.id().isEmpty()
                    ? AsyncRequestRoutes.notAcceptedProblem(failure)
                    : Problem.outcomeUnknown(BAD_GATEWAY, "endpoint-failed", failure.toString());
        }
        String detail = "no endpoint completed the request";
        return switch (work.failureRunState(sink.id())) {
            case NOT_RUN -> Problem.notRun(SERVICE_UNAVAILABLE, "no-endpoint", detail);
            case RAN ->
                    new Problem(
                            BAD_REQUEST,
                            "rejected-by-engine",
                            "the engine rejected the request as invalid",
                            RunState.RAN);
            case UNKNOWN -> Problem.outcomeUnknown(BAD_GATEWAY, "endpoint-failed", detail);
        };
    }
}
