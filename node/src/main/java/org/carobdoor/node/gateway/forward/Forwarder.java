package org.carobdoor.node.gateway.forward;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32C;
import org.carobdoor.ClientAccount;
import org.carobdoor.Failure;
import org.carobdoor.Result;
import org.carobdoor.internal.deployment.Account;
import org.carobdoor.internal.deployment.CallerLimits;
import org.carobdoor.internal.deployment.Configuration;
import org.carobdoor.internal.deployment.Route;
import org.carobdoor.internal.deployment.RouteKind;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.quarantine.FeatureExtractor;
import org.carobdoor.internal.quarantine.QuarantineDecision;
import org.carobdoor.internal.quota.QuotaDecision;
import org.carobdoor.internal.request.CallerRequest;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.internal.request.ShutdownAdmission;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.node.gateway.front.ErrorResponse;
import org.carobdoor.node.gateway.front.Exchange;
import org.carobdoor.node.gateway.front.RequestHandler;
import org.carobdoor.platform.CallerHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Checks the head, the route, the caller's key and the account's quota of each request; then
 * refuses the request or forwards it with a {@link ForwardedCall}.
 */
public final class Forwarder implements RequestHandler {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;

    /**
     * Retry-After while the node has no configuration: it asks the store again within this time.
     */
    private static final long NO_CONFIGURATION_RETRY_AFTER_MILLIS = 300;

    /**
     * Maximum time that a request waits for the first configuration, which a node that has just
     * started reads within some hundred milliseconds. Refusing the request would use up the
     * caller's only retry.
     */
    private static final long CONFIGURATION_WAIT_MILLIS = 500;

    /** Maximum number of requests that wait for the first configuration. */
    private static final int MAX_WAITING_REQUESTS = 200;

    /** Retry-After while the node is stopping: another node can serve the caller immediately. */
    private static final long STOPPING_RETRY_AFTER_MILLIS = 20;

    private final ForwardingState state;
    private final Set<ForwardedCall> calls = new HashSet<>();
    private final Set<WaitingRequest> waitingRequests = new LinkedHashSet<>();
    private @Nullable ShutdownAdmission shutdown;

    private record WaitingRequest(Exchange exchange, CallerRequest request) {}

    private Forwarder(ForwardingState state) {
        this.state = state;
    }

    /** Creates a forwarder that uses {@code state}. */
    public static Forwarder create(ForwardingState state) {
        return new Forwarder(state);
    }

    /** Returns the number of unfinished requests. */
    public int openCalls() {
        return calls.size();
    }

    /**
     * Closes each connection after its current response from now on, refuses requests that cannot
     * be answered before the process exits, and answers the others before it does.
     */
    public void startStopping(ShutdownAdmission admission) {
        shutdown = admission;
        state.loop()
                .schedule(
                        this::endOpenCalls,
                        admission.answerByNanos() - System.nanoTime(),
                        TimeUnit.NANOSECONDS);
    }

    private void endOpenCalls() {
        List.copyOf(calls).forEach(ForwardedCall::endBeforeExit);
    }

    @Override
    public boolean isStopping() {
        return shutdown != null;
    }

    @Override
    public CallerLimits limits() {
        return state.configuration()
                .map(Configuration::callerLimits)
                .orElse(CallerLimits.defaults());
    }

    @Override
    public void handle(Exchange exchange) {
        switch (CallerHeaders.decode(exchange.head())) {
            case Result.Err<CallerRequest>(Failure failure) ->
                    refuse(exchange, "-", ErrorResponse.rejected(BAD_REQUEST, "malformed_header"));
            case Result.Ok<CallerRequest>(CallerRequest request) -> route(exchange, request);
        }
    }

    private void route(Exchange exchange, CallerRequest request) {
        Optional<Configuration> configuration = state.configuration();
        if (configuration.isEmpty() || !state.isReady()) {
            awaitConfiguration(exchange, request);
            return;
        }
        Configuration c = configuration.get();
        Optional<Route> route = c.match(request.host(), request.path());
        if (route.isEmpty()) {
            refuse(exchange, request.id(), ErrorResponse.rejected(NOT_FOUND, "no_route"));
            return;
        }
        Route r = route.get();
        Optional<Account> account = c.accountOf(request.key());
        if (c.hasAccounts() && account.isEmpty() && !r.anonymous()) {
            refuse(exchange, request.id(), ErrorResponse.rejected(UNAUTHORIZED, "unknown_key"));
            return;
        }
        if (!isAdmitted(exchange, request, r)) {
            refuse(
                    exchange,
                    request.id(),
                    ErrorResponse.unavailable("stopping", STOPPING_RETRY_AFTER_MILLIS));
            return;
        }
        Service service =
                c.service(r.pickService(state.random().nextDouble()))
                        .orElse(new Service("missing", "/", 0, Optional.empty(), Optional.empty()));
        admit(exchange, request, r, service, account);
    }

    private boolean isAdmitted(Exchange exchange, CallerRequest request, Route route) {
        ShutdownAdmission s = shutdown;
        return s == null
                || s.admits(
                        route.kind() == RouteKind.STREAMING,
                        route.objectiveMillis(),
                        deadlineNanos(exchange, request, route),
                        System.nanoTime());
    }

    private static long deadlineNanos(Exchange exchange, CallerRequest request, Route route) {
        long timeoutMillis =
                Math.min(request.waitMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
        return exchange.arrivedNanos() + timeoutMillis * CallContext.NANOS_PER_MILLI;
    }

    private void awaitConfiguration(Exchange exchange, CallerRequest request) {
        if (waitingRequests.size() >= MAX_WAITING_REQUESTS || state.isConfigurationOverdue()) {
            refuseUnconfigured(exchange, request);
            return;
        }
        WaitingRequest w = new WaitingRequest(exchange, request);
        waitingRequests.add(w);
        state.loop()
                .schedule(
                        () -> {
                            if (waitingRequests.remove(w)) {
                                refuseUnconfigured(exchange, request);
                            }
                        },
                        CONFIGURATION_WAIT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void refuseUnconfigured(Exchange exchange, CallerRequest request) {
        refuse(
                exchange,
                request.id(),
                ErrorResponse.unavailable("no_configuration", NO_CONFIGURATION_RETRY_AFTER_MILLIS));
    }

    /** Handles the requests that wait for the first configuration. */
    public void serveWaiting() {
        List<WaitingRequest> requests = List.copyOf(waitingRequests);
        waitingRequests.clear();
        requests.stream()
                .filter(w -> !w.exchange.isEnded())
                .forEach(w -> route(w.exchange, w.request));
    }

    /** Abandons the unanswered requests that match a pattern that has just been quarantined. */
    public void abandonQuarantined() {
        List.copyOf(calls).forEach(ForwardedCall::abandonIfQuarantined);
    }

    private void admit(
            Exchange exchange,
            CallerRequest request,
            Route route,
            Service service,
            Optional<Account> account) {
        RequestFeatures features = features(exchange, request, account);
        QuarantineDecision quarantined =
                state.quarantine().isEmpty()
                        ? new QuarantineDecision.Allowed()
                        : state.quarantine().decide(request.id(), features);
        if (quarantined instanceof QuarantineDecision.Refused(var entry, long retryAfter)) {
            refuse(
                    exchange,
                    request.id(),
                    ErrorResponse.unavailable(ErrorResponse.QUARANTINED, retryAfter));
            return;
        }
        double units =
                account.flatMap(Account::quota)
                        .map(q -> q.unitsOf(request.prompt().map(Prompt::totalTokens).orElse(0L)))
                        .orElse(0.0);
        long now = System.nanoTime();
        QuotaDecision decision =
                account.flatMap(a -> state.accountQuotas().quota(a.id()))
                        .map(q -> q.tryTake(units, now))
                        .orElse(new QuotaDecision.Granted());
        CallContext context =
                new CallContext(
                        state,
                        exchange,
                        request,
                        route,
                        service,
                        account,
                        features,
                        quarantined instanceof QuarantineDecision.Trial,
                        units,
                        deadlineNanos(exchange, request, route));
        switch (decision) {
            case QuotaDecision.Granted() -> start(context);
            case QuotaDecision.Exceeded(long retryAfter) -> refuseOverQuota(context, retryAfter);
            case QuotaDecision.PartExceeded(long retryAfter) -> borrow(context, retryAfter);
        }
    }

    private void start(CallContext context) {
        ForwardedCall call = new ForwardedCall(context, calls);
        calls.add(call);
        call.start();
    }

    private void refuseOverQuota(CallContext context, long retryAfterMillis) {
        logQuotaExceeded(context.request(), context.account(), context.units(), System.nanoTime());
        refuse(
                context.exchange(),
                context.request().id(),
                ErrorResponse.quotaExceeded(retryAfterMillis));
    }

    private void borrow(CallContext context, long retryAfterMillis) {
        ClientAccount account = context.account().orElseThrow().id();
        state.quotaLoans()
                .borrow(
                        account,
                        context.units(),
                        granted -> {
                            if (granted && context.exchange().isEnded()) {
                                state.accountQuotas()
                                        .quota(account)
                                        .ifPresent(q -> q.refund(context.units()));
                            } else if (granted) {
                                start(context);
                            } else if (!context.exchange().isEnded()) {
                                refuseOverQuota(context, retryAfterMillis);
                            }
                        });
    }

    private static RequestFeatures features(
            Exchange exchange, CallerRequest request, Optional<Account> account) {
        return request.prompt()
                .flatMap(FeatureExtractor::ofPrompt)
                .orElseGet(() -> plainFeatures(exchange, request, account));
    }

    private static RequestFeatures plainFeatures(
            Exchange exchange, CallerRequest request, Optional<Account> account) {
        CRC32C crc = new CRC32C();
        crc.update(exchange.body().nioBuffer());
        long bodyHash = (long) exchange.body().readableBytes() << Integer.SIZE | crc.getValue();
        return FeatureExtractor.ofPlainRequest(
                account.map(a -> a.id().value()).orElse(""),
                exchange.head().method().name(),
                request.path(),
                exchange.head().uri(),
                bodyHash);
    }

    private void logQuotaExceeded(
            CallerRequest request, Optional<Account> account, double units, long now) {
        account.flatMap(a -> state.accountQuotas().quota(a.id()))
                .ifPresent(
                        q ->
                                state.log()
                                        .line("quota.exceeded")
                                        .add("id", request.id())
                                        .add("account", account.get().id())
                                        .add("units", Math.round(units))
                                        .add("available", Math.round(q.available(now)))
                                        .add("limit", account.get().quota().orElseThrow())
                                        .write());
    }

    private void refuse(Exchange exchange, String id, ErrorResponse error) {
        state.log()
                .line("request.refused")
                .add("id", id)
                .add("status", error.status())
                .add("cause", error.cause())
                .add("retry_after_ms", error.retryAfterMillis())
                .add("configuration", state.configuration().map(Configuration::version).orElse(-1L))
                .write();
        state.counters().recordEnd(Outcome.REFUSED, 0);
        exchange.sendError(error);
    }
}
