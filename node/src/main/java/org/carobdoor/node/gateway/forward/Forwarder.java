package org.carobdoor.node.gateway.forward;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.carobdoor.Failure;
import org.carobdoor.Result;
import org.carobdoor.internal.deployment.Account;
import org.carobdoor.internal.deployment.CallerLimits;
import org.carobdoor.internal.deployment.Configuration;
import org.carobdoor.internal.deployment.Route;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.quota.QuotaDecision;
import org.carobdoor.internal.request.CallerRequest;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.node.gateway.front.Exchange;
import org.carobdoor.node.gateway.front.Refusal;
import org.carobdoor.node.gateway.front.RequestHandler;
import org.carobdoor.platform.CallerHeaders;

/**
 * Decides whether a request is served: by its head, its route, the caller's key and the account's
 * quota; then hands it to a {@link ForwardedCall}.
 */
public final class Forwarder implements RequestHandler {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;

    /** A node without a configuration asks the store again within this time. */
    private static final long NO_CONFIGURATION_RETRY_MILLIS = 300;

    /**
     * How long a request waits for the first configuration, which a node that has just started
     * reads within some hundred milliseconds: a refusal would use up the caller's only repeat.
     */
    private static final long CONFIGURATION_WAIT_MILLIS = 500;

    /** Requests that may wait for the first configuration. */
    private static final int MAX_WAITING = 200;

    /** A caller that is turned away by a stopping node is served by another one at once. */
    private static final long STOPPING_RETRY_MILLIS = 20;

    private final ForwardingState state;
    private final Set<ForwardedCall> calls = new HashSet<>();
    private final Set<Waiting> waiting = new LinkedHashSet<>();
    private boolean stopping;
    private boolean refusingStreams;
    private boolean refusingAll;

    private record Waiting(Exchange exchange, CallerRequest request) {}

    private Forwarder(ForwardingState state) {
        this.state = state;
    }

    /** Returns a forwarder of the node with {@code state}. */
    public static Forwarder create(ForwardingState state) {
        return new Forwarder(state);
    }

    /** Returns the number of requests that are not answered yet. */
    public int openCalls() {
        return calls.size();
    }

    /** Ends connections after their answers from now on. */
    public void startStopping() {
        stopping = true;
    }

    /** Refuses new streams, which could not end before the node stops. */
    public void refuseStreams() {
        refusingStreams = true;
    }

    /** Refuses all new requests. */
    public void refuseAll() {
        refusingAll = true;
    }

    @Override
    public boolean isStopping() {
        return stopping;
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
                    refuse(exchange, "-", Refusal.rejected(BAD_REQUEST, "malformed_header"));
            case Result.Ok<CallerRequest>(CallerRequest request) -> route(exchange, request);
        }
    }

    private void route(Exchange exchange, CallerRequest request) {
        Optional<Configuration> known = state.configuration();
        if (known.isEmpty() || !state.isReady()) {
            awaitConfiguration(exchange, request);
            return;
        }
        Configuration c = known.get();
        Optional<Route> route = c.match(request.host(), request.path());
        if (route.isEmpty()) {
            refuse(exchange, request.id(), Refusal.rejected(NOT_FOUND, "no_route"));
            return;
        }
        Route r = route.get();
        Optional<Account> account = c.accountOf(request.key());
        if (c.hasAccounts() && account.isEmpty() && !r.anonymous()) {
            refuse(exchange, request.id(), Refusal.rejected(UNAUTHORIZED, "unknown_key"));
            return;
        }
        boolean tooLate = refusingAll || (refusingStreams && r.promptAffinity());
        if (tooLate) {
            refuse(exchange, request.id(), Refusal.unavailable("stopping", STOPPING_RETRY_MILLIS));
            return;
        }
        Service service =
                c.service(r.pickService(state.random().nextDouble()))
                        .orElse(new Service("missing", "/", 0, Optional.empty(), Optional.empty()));
        admit(exchange, request, r, service, account);
    }

    private void awaitConfiguration(Exchange exchange, CallerRequest request) {
        if (waiting.size() >= MAX_WAITING || state.isConfigurationOverdue()) {
            refuseUnconfigured(exchange, request);
            return;
        }
        Waiting w = new Waiting(exchange, request);
        waiting.add(w);
        state.loop()
                .schedule(
                        () -> {
                            if (waiting.remove(w)) {
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
                Refusal.unavailable("no_configuration", NO_CONFIGURATION_RETRY_MILLIS));
    }

    /** Serves the requests that waited for the first configuration. */
    public void serveWaiting() {
        List<Waiting> now = List.copyOf(waiting);
        waiting.clear();
        now.stream().filter(w -> !w.exchange.isEnded()).forEach(w -> route(w.exchange, w.request));
    }

    private void admit(
            Exchange exchange,
            CallerRequest request,
            Route route,
            Service service,
            Optional<Account> account) {
        double units =
                account.flatMap(Account::quota)
                        .map(q -> q.unitsOf(request.prompt().map(Prompt::totalTokens).orElse(0L)))
                        .orElse(0.0);
        long now = System.nanoTime();
        QuotaDecision decision =
                account.flatMap(a -> state.accountQuotas().quota(a.id()))
                        .map(q -> q.tryTake(units, now))
                        .orElse(new QuotaDecision.Granted());
        switch (decision) {
            case QuotaDecision.Exceeded(long retryAfter) -> {
                logQuota(request, account, units, now);
                refuse(exchange, request.id(), Refusal.overQuota(retryAfter));
            }
            case QuotaDecision.Granted() -> {
                long patience =
                        Math.min(
                                request.waitMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
                CallContext context =
                        new CallContext(
                                state,
                                exchange,
                                request,
                                route,
                                service,
                                account,
                                units,
                                exchange.arrivedNanos() + patience * CallContext.NANOS_PER_MILLI);
                ForwardedCall call = new ForwardedCall(context, calls);
                calls.add(call);
                call.start();
            }
        }
    }

    private void logQuota(
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

    private void refuse(Exchange exchange, String id, Refusal refusal) {
        state.log()
                .line("request.refused")
                .add("id", id)
                .add("status", refusal.status())
                .add("cause", refusal.cause())
                .add("retry_after_ms", refusal.retryAfterMillis())
                .add("configuration", state.configuration().map(Configuration::version).orElse(-1L))
                .write();
        state.counters().ended(Outcome.REFUSED, 0);
        exchange.refuse(refusal);
    }
}
