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
import org.carobdoor.internal.burn.Cause;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.node.admission.RequestGate;
import org.carobdoor.node.admission.RequestScope;
import org.carobdoor.node.claims.ClaimService;
import org.carobdoor.node.claims.KeyOutcome;
import org.carobdoor.node.claims.StoredAnswer;
import org.carobdoor.node.endpoint.ForwardedHeaders;
import org.carobdoor.node.endpoint.ServiceAnswer;
import org.carobdoor.node.endpoint.ServiceRequest;
import org.carobdoor.node.execution.PayloadCodec;
import org.carobdoor.node.execution.ServiceWork;
import org.carobdoor.node.execution.WorkPayload;
import org.carobdoor.node.metrics.NodeMetrics;
import org.carobdoor.node.service.CallOutcome;
import org.carobdoor.node.service.OnceCalls;
import org.carobdoor.node.service.OnceOutcome;
import org.carobdoor.node.service.SendPermit;
import org.carobdoor.node.service.ServiceCalls;
import org.carobdoor.node.work.WorkSpec;

/** The routes of plain services: {@code /services/<path prefix>/...}. */
public final class ServiceRoutes {
    private static final String ROOT = "/services";
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String RUN_STATE_HEADER = "X-Run-State";
    private static final String REPLAYED_HEADER = "Idempotent-Replayed";
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final CallerGuard guard;
    private final ServiceCalls services;
    private final OnceCalls once;
    private final ClaimService claims;
    private final RequestGate gate;
    private final AcceptedRoutes accepted;
    private final PayloadCodec codec;
    private final NodeMetrics metrics;
    private final InstantSource clock;

    /** Creates the routes. */
    public ServiceRoutes(
            CallerGuard guard,
            ServiceCalls services,
            OnceCalls once,
            ClaimService claims,
            RequestGate gate,
            AcceptedRoutes accepted,
            PayloadCodec codec,
            NodeMetrics metrics,
            InstantSource clock) {
        this.gate = gate;
        this.accepted = accepted;
        this.codec = codec;
        this.guard = guard;
        this.services = services;
        this.once = once;
        this.claims = claims;
        this.metrics = metrics;
        this.clock = clock;
    }

    /** Adds the routes to {@code app}. */
    public void install(Jooby app) {
        for (String method : List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")) {
            app.route(method, ROOT + "/*", this::call);
        }
        app.get("/v1/outcomes/{key}", this::outcome);
    }

    private Context call(Context ctx) throws InterruptedException {
        ClientAccount account = guard.authenticate(ctx);
        try (CallerGuard.InFlight request = guard.begin()) {
            return call(ctx, account);
        }
    }

    private Context call(Context ctx, ClientAccount account) throws InterruptedException {
        Instant start = clock.instant();
        Instant deadline = guard.deadline(ctx);
        String path = ctx.getRequestPath().substring(ROOT.length());
        CatalogueEntry entry = guard.serviceEntry(path, account);
        BodyTypes.checkNoForm(ctx);
        ServiceRequest request = requestOf(ctx, path, account);
        boolean safe = List.of("GET", "HEAD").contains(ctx.getMethod());
        boolean repeatable = entry.repeatable() || safe;
        String key = repeatable ? "" : keyOf(ctx, entry);
        try (RequestScope scope = Gates.enter(gate, entry, deadline)) {
            if (AcceptedRoutes.isSubmission(ctx)) {
                ServiceWork work = new ServiceWork(entry.name(), account, key, request);
                Bytes payload = codec.encode(new WorkPayload.Service(work));
                return accepted.submit(
                        ctx, new WorkSpec(entry.name(), payload, repeatable, deadline));
            }
            serve(ctx, entry, account, key, request, deadline, scope);
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
            RequestScope scope)
            throws InterruptedException {
        if (key.isEmpty()) {
            CallOutcome outcome = services.call(entry, request, true, SendPermit.ALWAYS, deadline);
            answer(ctx, entry, outcome, scope);
        } else {
            OnceOutcome outcome = once.call(account, entry, key, request, deadline);
            answerOnce(ctx, entry, outcome, scope);
        }
    }

    private static String keyOf(Context ctx, CatalogueEntry entry) {
        String key = ctx.header(KEY_HEADER).valueOrNull();
        if (key == null) {
            throw new ProblemException(
                    Problem.notRun(
                            BAD_REQUEST,
                            "idempotency-key-missing",
                            "calls of entry \""
                                    + entry.name()
                                    + "\" may not be repeated and need the header "
                                    + KEY_HEADER));
        }
        return key;
    }

    private static ServiceRequest requestOf(Context ctx, String path, ClientAccount account) {
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

    private void answerOnce(
            Context ctx, CatalogueEntry entry, OnceOutcome outcome, RequestScope scope) {
        switch (outcome) {
            case OnceOutcome.Called(var called) -> answer(ctx, entry, called, scope);
            case OnceOutcome.Repeated(var status, var stored) -> {
                metrics.request(entry.name(), "repeated");
                scope.onTokens(1);
                replay(ctx, status, stored.orElse(new StoredAnswer(status, "", Bytes.empty())));
            }
            case OnceOutcome.Held held ->
                    throw failed(
                            entry,
                            Problem.unknown(
                                    CONFLICT,
                                    "idempotency-key-in-use",
                                    "an earlier request with this key may have run; ask"
                                            + " /v1/outcomes/{key}?entry="
                                            + entry.name()));
            case OnceOutcome.TooOld old ->
                    throw failed(
                            entry,
                            Problem.unknown(
                                    GONE,
                                    "idempotency-key-too-old",
                                    "an earlier request with this key may have run and is no"
                                            + " longer remembered"));
            case OnceOutcome.BadKey(var detail) ->
                    throw failed(
                            entry, Problem.notRun(BAD_REQUEST, "idempotency-key-invalid", detail));
            case OnceOutcome.NotClaimed(var failure) -> {
                scope.onFailure(Cause.ENGINE);
                throw failed(
                        entry,
                        Problem.notRun(
                                SERVICE_UNAVAILABLE, "claim-unavailable", failure.toString()));
            }
        }
    }

    private void answer(
            Context ctx, CatalogueEntry entry, CallOutcome outcome, RequestScope scope) {
        switch (outcome) {
            case CallOutcome.Answered(var answer) -> {
                metrics.request(entry.name(), RunState.RAN.label());
                pass(ctx, answer);
            }
            case CallOutcome.NotRun(var failure) ->
                    throw failed(
                            entry,
                            Problem.notRun(SERVICE_UNAVAILABLE, "no-endpoint", failure.toString()));
            case CallOutcome.Unknown(var failure) ->
                    throw failed(
                            entry,
                            Problem.unknown(BAD_GATEWAY, "endpoint-failed", failure.toString()));
        }
    }

    private static void pass(Context ctx, ServiceAnswer answer) {
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

    private Context outcome(Context ctx) {
        ClientAccount account = guard.authenticate(ctx);
        String key = ctx.path("key").value();
        String entry = ctx.query("entry").valueOrNull();
        if (entry == null) {
            throw new ProblemException(
                    Problem.notRun(BAD_REQUEST, "bad-request", "the query needs entry=<name>"));
        }
        Result<KeyOutcome> outcome = claims.outcome(account, entry, key, guard.deadline(ctx));
        return switch (outcome) {
            case Result.Err<KeyOutcome>(Failure failure) ->
                    throw new ProblemException(
                            Problem.notRun(
                                    SERVICE_UNAVAILABLE, "claim-unavailable", failure.toString()));
            case Result.Ok<KeyOutcome>(KeyOutcome found) -> {
                ctx.setResponseType("application/json");
                yield ctx.send(describe(found));
            }
        };
    }

    private static String describe(KeyOutcome outcome) {
        return switch (outcome) {
            case KeyOutcome.Done(var status, var holder) ->
                    "{\"run_state\":\"ran\",\"status\":" + status + "}";
            case KeyOutcome.Open open -> "{\"run_state\":\"unknown\"}";
            // It is no proof that the call did not run: the key may be forgotten.
            case KeyOutcome.NotRecorded none -> "{\"run_state\":\"unknown\",\"recorded\":false}";
        };
    }

    private ProblemException failed(CatalogueEntry entry, Problem problem) {
        metrics.request(entry.name(), problem.runState().label());
        return new ProblemException(problem);
    }
}
