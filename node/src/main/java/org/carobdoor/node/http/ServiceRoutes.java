package org.carobdoor.node.http;

import io.jooby.Context;
import io.jooby.Jooby;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.carobdoor.Bytes;
import org.carobdoor.ClientAccount;
import org.carobdoor.Failure;
import org.carobdoor.Result;
import org.carobdoor.RunState;
import org.carobdoor.internal.burn.MissCause;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.node.admission.AdmissionController;
import org.carobdoor.node.admission.RequestAccounting;
import org.carobdoor.node.claims.ClaimService;
import org.carobdoor.node.claims.KeyOutcome;
import org.carobdoor.node.claims.StoredAnswer;
import org.carobdoor.node.endpoint.ForwardedHeaders;
import org.carobdoor.node.endpoint.ServiceAnswer;
import org.carobdoor.node.endpoint.ServiceRequest;
import org.carobdoor.node.execution.PayloadCodec;
import org.carobdoor.node.execution.SubmittedServiceCall;
import org.carobdoor.node.execution.WorkPayload;
import org.carobdoor.node.metrics.NodeMetrics;
import org.carobdoor.node.service.AtMostOnceCalls;
import org.carobdoor.node.service.AtMostOnceOutcome;
import org.carobdoor.node.service.CallOutcome;
import org.carobdoor.node.service.SendPermit;
import org.carobdoor.node.service.ServiceCalls;
import org.carobdoor.node.work.WorkSpec;

/** The routes of plain HTTP services: {@code /services/<path prefix>/...}. */
public final class ServiceRoutes {
    private static final String PATH_PREFIX = "/services";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String RUN_STATE_HEADER = "X-Run-State";
    private static final String REPLAYED_HEADER = "Idempotent-Replayed";
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final RequestPreconditions preconditions;
    private final ServiceCalls services;
    private final AtMostOnceCalls atMostOnceCalls;
    private final ClaimService claims;
    private final AdmissionController admission;
    private final AsyncRequestRoutes asyncRequests;
    private final PayloadCodec codec;
    private final NodeMetrics metrics;
    private final InstantSource clock;

    /** Creates the routes. */
    public ServiceRoutes(
            RequestPreconditions preconditions,
            ServiceCalls services,
            AtMostOnceCalls atMostOnceCalls,
            ClaimService claims,
            AdmissionController admission,
            AsyncRequestRoutes asyncRequests,
            PayloadCodec codec,
            NodeMetrics metrics,
            InstantSource clock) {
        this.admission = admission;
        this.asyncRequests = asyncRequests;
        this.codec = codec;
        this.preconditions = preconditions;
        this.services = services;
        this.atMostOnceCalls = atMostOnceCalls;
        this.claims = claims;
        this.metrics = metrics;
        this.clock = clock;
    }

    /** Registers the routes with {@code app}. */
    public void install(Jooby app) {
        for (String method : List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")) {
            app.route(method, PATH_PREFIX + "/*", this::call);
        }
        app.get("/v1/outcomes/{key}", this::readOutcome);
    }

    private Context call(Context ctx) throws InterruptedException {
        ClientAccount account = preconditions.authenticate(ctx);
        try (RequestPreconditions.InFlightRequest request = preconditions.beginRequest()) {
            return call(ctx, account);
        }
    }

    private Context call(Context ctx, ClientAccount account) throws InterruptedException {
        Instant start = clock.instant();
        Instant deadline = preconditions.deadline(ctx);
        String path = ctx.getRequestPath().substring(PATH_PREFIX.length());
        CatalogueEntry entry = preconditions.serviceEntry(path, account);
        FormBodyCheck.rejectForm(ctx);
        ServiceRequest request = toServiceRequest(ctx, path, account);
        boolean safe = List.of("GET", "HEAD").contains(ctx.getMethod());
        boolean repeatable = entry.repeatable() || safe;
        String key = repeatable ? "" : requireIdempotencyKey(ctx, entry);
        try (RequestAccounting accounting = AdmissionChecks.admit(admission, entry, deadline)) {
            if (AsyncRequestRoutes.prefersAsync(ctx)) {
                SubmittedServiceCall work =
                        new SubmittedServiceCall(entry.name(), account, key, request);
                Bytes payload = codec.encode(new WorkPayload.Service(work));
                return asyncRequests.submit(
                        ctx, new WorkSpec(entry.name(), payload, repeatable, deadline));
            }
            serve(ctx, entry, account, key, request, deadline, accounting);
        }
        double seconds = Duration.between(start, clock.instant()).toNanos() / 1e9;
        metrics.serviceAnswer(entry.name(), seconds);
        return ctx;
    }

    private void serve(
            Context ctx,
            CatalogueEntry entry,
            ClientAccount account,
            String key,
            ServiceRequest request,
            Instant deadline,
            RequestAccounting accounting)
            throws InterruptedException {
        if (key.isEmpty()) {
            CallOutcome outcome = services.call(entry, request, true, SendPermit.ALWAYS, deadline);
            respond(ctx, entry, outcome, accounting);
        } else {
            AtMostOnceOutcome outcome =
                    atMostOnceCalls.call(account, entry, key, request, deadline);
            respondAtMostOnce(ctx, entry, outcome, accounting);
        }
    }

    private static String requireIdempotencyKey(Context ctx, CatalogueEntry entry) {
        String key = ctx.header(IDEMPOTENCY_KEY_HEADER).valueOrNull();
        if (key == null) {
            throw new ProblemException(
                    Problem.notRun(
                            BAD_REQUEST,
                            "idempotency-key-missing",
                            "calls of entry \""
                                    + entry.name()
                                    + "\" are not repeatable and require the header "
                                    + IDEMPOTENCY_KEY_HEADER));
        }
        return key;
    }

    private static ServiceRequest toServiceRequest(
            Context ctx, String path, ClientAccount account) {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        for (String name : ctx.headerMap().keySet()) {
            if (ForwardedHeaders.inRequest(name)) {
                headers.put(name, ctx.header(name).toList());
            }
        }
        headers.put("X-Client-Account", List.of(account.value()));
        String query = ctx.queryString();
        String pathAndQuery = query == null || query.isEmpty() ? path : path + query;
        return new ServiceRequest(
                ctx.getMethod(), pathAndQuery, headers, Bytes.of(ctx.body().bytes()));
    }

    private void respondAtMostOnce(
            Context ctx,
            CatalogueEntry entry,
            AtMostOnceOutcome outcome,
            RequestAccounting accounting) {
        switch (outcome) {
            case AtMostOnceOutcome.Called(var called) -> respond(ctx, entry, called, accounting);
            case AtMostOnceOutcome.Replayed(var status, var stored) -> {
                metrics.request(entry.name(), "repeated");
                accounting.onTokens(1);
                replay(ctx, status, stored.orElse(new StoredAnswer(status, "", Bytes.empty())));
            }
            case AtMostOnceOutcome.KeyInUse inUse ->
                    throw countedProblem(
                            entry,
                            Problem.outcomeUnknown(
                                    CONFLICT,
                                    "idempotency-key-in-use",
                                    "an earlier request with this key may have run; query"
                                            + " /v1/outcomes/{key}?entry="
                                            + entry.name()));
            case AtMostOnceOutcome.KeyTooOld tooOld ->
                    throw countedProblem(
                            entry,
                            Problem.outcomeUnknown(
                                    GONE,
                                    "idempotency-key-too-old",
                                    "an earlier request with this key may have run but is no"
                                            + " longer recorded"));
            case AtMostOnceOutcome.InvalidKey(var reason) ->
                    throw countedProblem(
                            entry, Problem.notRun(BAD_REQUEST, "idempotency-key-invalid", reason));
            case AtMostOnceOutcome.ClaimFailed(var failure) -> {
                accounting.onFailure(MissCause.ENGINE);
                throw countedProblem(
                        entry,
                        Problem.notRun(
                                SERVICE_UNAVAILABLE, "claim-unavailable", failure.toString()));
            }
        }
    }

    private void respond(
            Context ctx, CatalogueEntry entry, CallOutcome outcome, RequestAccounting accounting) {
        switch (outcome) {
            case CallOutcome.Answered(var answer) -> {
                metrics.request(entry.name(), RunState.RAN.label());
                forward(ctx, answer);
            }
            case CallOutcome.NotRun(var failure) ->
                    throw countedProblem(
                            entry,
                            Problem.notRun(SERVICE_UNAVAILABLE, "no-endpoint", failure.toString()));
            case CallOutcome.Unknown(var failure) ->
                    throw countedProblem(
                            entry,
                            Problem.outcomeUnknown(
                                    BAD_GATEWAY, "endpoint-failed", failure.toString()));
        }
    }

    private static void forward(Context ctx, ServiceAnswer answer) {
        ctx.setResponseCode(answer.status());
        answer.headers()
                .forEach((name, values) -> values.forEach(v -> ctx.setResponseHeader(name, v)));
        ctx.setResponseHeader(RUN_STATE_HEADER, RunState.RAN.label());
        ctx.send(answer.body().toByteArray());
    }

    private static void replay(Context ctx, int status, StoredAnswer answer) {
        ctx.setResponseCode(status);
        if (!answer.contentType().isEmpty()) {
            ctx.setResponseHeader("Content-Type", answer.contentType());
        }
        ctx.setResponseHeader(RUN_STATE_HEADER, RunState.RAN.label());
        ctx.setResponseHeader(REPLAYED_HEADER, "true");
        ctx.send(answer.body().toByteArray());
    }

    private Context readOutcome(Context ctx) {
        ClientAccount account = preconditions.authenticate(ctx);
        String key = ctx.path("key").value();
        String entry = ctx.query("entry").valueOrNull();
        if (entry == null) {
            throw new ProblemException(
                    Problem.notRun(
                            BAD_REQUEST,
                            "bad-request",
                            "query parameter entry=<name> is required"));
        }
        Result<KeyOutcome> outcome =
                claims.outcome(account, entry, key, preconditions.deadline(ctx));
        return switch (outcome) {
            case Result.Err<KeyOutcome>(Failure failure) ->
                    throw new ProblemException(
                            Problem.notRun(
                                    SERVICE_UNAVAILABLE, "claim-unavailable", failure.toString()));
            case Result.Ok<KeyOutcome>(KeyOutcome found) -> {
                ctx.setResponseType("application/json");
                yield ctx.send(toJson(found));
            }
        };
    }

    private static String toJson(KeyOutcome outcome) {
        return switch (outcome) {
            case KeyOutcome.Done(var status, var holder) ->
                    "{\"run_state\":\"ran\",\"status\":" + status + "}";
            case KeyOutcome.Open open -> "{\"run_state\":\"unknown\"}";
            // Not reported as not run: the record of the key may have expired after the call ran.
            case KeyOutcome.NotRecorded none -> "{\"run_state\":\"unknown\",\"recorded\":false}";
        };
    }

    private ProblemException countedProblem(CatalogueEntry entry, Problem problem) {
        metrics.request(entry.name(), problem.runState().label());
        return new ProblemException(problem);
    }
}
