package org.carobdoor.node.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.deployment.EngineTraits;
import org.carobdoor.internal.deployment.Route;
import org.carobdoor.internal.deployment.RouteKind;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.fleet.EngineWork;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.placement.EnginePlacement;
import org.carobdoor.internal.placement.Placement;
import org.carobdoor.internal.placement.PlainPlacement;
import org.carobdoor.internal.request.EndpointAnswer;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.internal.retries.GiveUpReason;
import org.carobdoor.node.gateway.endpoint.Endpoint;
import org.carobdoor.node.gateway.front.Exchange;
import org.carobdoor.node.gateway.front.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * One request on its way: placed, sent, sent again where that is allowed, and answered once.
 *
 * <p>A request is sent again only if the endpoint stated that it did not run, if no byte of it can
 * have left, or if its route allows a second run; never past its deadline, to more endpoints than
 * the route allows, or beyond the retry budget. A refusal that says "not run" is used only if no
 * endpoint can have run it. Belongs to the event loop.
 */
final class ForwardedCall implements Exchange.Listener, AttemptListener {
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int MISDIRECTED = 421;

    /** Connections that cannot be opened are no sends, but trying them all would take too long. */
    private static final int MAX_CONNECT_FAILURES = 6;

    /** Retry-After when a service has no endpoint: new ones are listed within seconds. */
    private static final long NO_ENDPOINT_RETRY_MILLIS = 600;

    /** Retry-After when endpoints refused a request: their queues shrink within this time. */
    private static final long REJECTED_RETRY_MILLIS = 250;

    /** Share of the time to the deadline that a queue may take before a request is refused. */
    private static final double PATIENCE_SHARE = 0.5;

    private final CallContext call;
    private final ForwardingState state;
    private final Exchange exchange;
    private final Route route;
    private final Service service;
    private final Set<ForwardedCall> open;
    private final Set<EndpointId> tried = new HashSet<>();
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private @Nullable EndpointAttempt attempt;
    private @Nullable EventBuffer events;
    private @Nullable GiveUpReason gaveUp;
    private int sends;
    private int misdirected;
    private int connectFailures;
    private boolean mayHaveRun;
    private boolean counted;
    private boolean streaming;
    private boolean ended;

    /**
     * Creates a call.
     *
     * @param open the calls of the node that have not ended, from which this one removes itself
     */
    ForwardedCall(CallContext call, Set<ForwardedCall> open) {
        this.call = call;
        this.state = call.state();
        this.exchange = call.exchange();
        this.route = call.route();
        this.service = call.service();
        this.open = open;
    }

    void start() {
        exchange.setListener(this);
        state.retries().onRequest(service.name(), System.nanoTime());
        long left = call.deadlineNanos() - System.nanoTime();
        deadlineTimer = state.loop().schedule(this::timeOut, left, TimeUnit.NANOSECONDS);
        call.request().prompt().ifPresent(p -> state.addWork(service.name(), EngineWork.millis(p)));
        place();
    }

    private void place() {
        long now = System.nanoTime();
        if (call.millisLeft(now) < EndpointAttempt.MIN_SEND_MILLIS) {
            timeOut();
            return;
        }
        switch (choose(candidates(now), now)) {
            case Placement.NoEndpoint() -> fail("no_endpoint", NO_ENDPOINT_RETRY_MILLIS);
            case Placement.Saturated(long retryAfter) -> fail("saturated", retryAfter);
            case Placement.Chosen chosen -> send(chosen);
        }
    }

    private List<EndpointLoad> candidates(long now) {
        return state.endpoints().accepting(service.name(), now).stream()
                .filter(e -> !tried.contains(e.entry().id()))
                .toList();
    }

    private Placement choose(List<EndpointLoad> candidates, long now) {
        double patience = call.millisLeft(now) * PATIENCE_SHARE;
        Optional<Prompt> prompt = call.request().prompt();
        if (service.engine().isEmpty() || prompt.isEmpty()) {
            return PlainPlacement.choose(candidates, state.zone(), patience, now);
        }
        EngineTraits engine = service.engine().get();
        if (prompt.get().totalTokens() > engine.memoryTokens()) {
            return new Placement.Saturated(0);
        }
        return EnginePlacement.choose(
                candidates,
                prompt.get(),
                engine.slots(),
                engine.memoryTokens(),
                state.zone(),
                patience,
                now);
    }

    private void send(Placement.Chosen chosen) {
        EndpointId id = chosen.endpoint().entry().id();
        Optional<Endpoint> endpoint = state.endpoints().find(id);
        if (endpoint.isEmpty()) {
            fail("no_endpoint", NO_ENDPOINT_RETRY_MILLIS);
            return;
        }
        tried.add(id);
        EndpointAttempt a = new EndpointAttempt(call, endpoint.get(), chosen, this);
        attempt = a;
        EventBuffer e = events;
        a.open(
                e == null ? null : e.lastId(),
                () -> {
                    state.counters().sent(sends > 0);
                    sends++;
                    if (route.isRepeatable() && attemptsLeft()) {
                        a.watchForSlowness();
                    }
                });
    }

    /** Tries again after an attempt that failed, if that is allowed; else ends the request. */
    private void placeAgain(String cause, boolean attemptNotRun) {
        mayHaveRun |= !attemptNotRun;
        Optional<GiveUpReason> reason = reasonToGiveUp(attemptNotRun);
        if (reason.isPresent()) {
            giveUp(reason.get(), cause);
        } else {
            logAgain(cause);
            place();
        }
    }

    private void giveUp(GiveUpReason reason, String cause) {
        gaveUp = reason;
        fail(cause, REJECTED_RETRY_MILLIS);
    }

    /** Returns why the request must not be sent again; a retry is taken if it may be. */
    private Optional<GiveUpReason> reasonToGiveUp(boolean attemptNotRun) {
        if (!attemptNotRun && !route.isRepeatable()) {
            return Optional.of(GiveUpReason.NOT_REPEATABLE);
        }
        if (!attemptsLeft()) {
            return Optional.of(GiveUpReason.ATTEMPTS);
        }
        boolean taken = state.retries().tryTake(service.name(), System.nanoTime());
        return taken ? Optional.empty() : Optional.of(GiveUpReason.BUDGET);
    }

    private boolean attemptsLeft() {
        return sends - misdirected < route.maxAttempts();
    }

    private void logAgain(String cause) {
        state.log()
                .line("request.again")
                .add("id", call.request().id())
                .add("service", service.name())
                .add("cause", cause)
                .add("sends", sends)
                .write();
    }

    /** Ends the request without an endpoint's answer. */
    private void fail(String cause, long retryAfterMillis) {
        if (streaming) {
            end(Outcome.CUT_OFF, cause);
            exchange.abort();
        } else if (mayHaveRun) {
            end(Outcome.FAILED, cause);
            exchange.refuse(Refusal.failed(BAD_GATEWAY, cause));
        } else {
            giveBackQuota();
            end(Outcome.REFUSED, cause);
            exchange.refuse(Refusal.unavailable(cause, retryAfterMillis));
        }
    }

    private void timeOut() {
        if (ended) {
            return;
        }
        mayHaveRun |= closeAttempt();
        end(Outcome.TIMED_OUT, "deadline");
        if (streaming) {
            exchange.abort();
        } else {
            exchange.refuse(
                    mayHaveRun
                            ? Refusal.failed(GATEWAY_TIMEOUT, "deadline")
                            : Refusal.unavailable("deadline", 0));
        }
    }

    @Override
    public void callerGone() {
        closeAttempt();
        end(Outcome.CALLER_GONE, "caller_gone");
    }

    @Override
    public void writabilityChanged(boolean writable) {
        EndpointAttempt a = attempt;
        if (a != null) {
            a.setReading(writable);
        }
    }

    /** Abandons the attempt; returns whether it may have run. */
    private boolean closeAttempt() {
        EndpointAttempt a = attempt;
        attempt = null;
        if (a == null) {
            return false;
        }
        a.close();
        if (a.isWritten() && route.kind() != RouteKind.STREAMING) {
            // The endpoint had it and runs it as a rule; a stream counts with its first event.
            countRun(a.sentNanos());
        }
        return a.isWritten();
    }

    @Override
    public void unreachable() {
        attempt = null;
        connectFailures++;
        if (connectFailures > MAX_CONNECT_FAILURES) {
            giveUp(GiveUpReason.ATTEMPTS, "unreachable");
        } else {
            // Nothing was sent, so this takes no retry.
            logAgain("unreachable");
            place();
        }
    }

    @Override
    public void rejected(EndpointAnswer answer) {
        attempt = null;
        if (answer.status() == MISDIRECTED) {
            // Another endpoint has the address; the one that was meant saw nothing.
            misdirected++;
        }
        placeAgain("rejected", true);
    }

    @Override
    public boolean hasAlternative() {
        return !candidates(System.nanoTime()).isEmpty();
    }

    @Override
    public void slow() {
        attempt = null;
        placeAgain("slow_endpoint", false);
    }

    @Override
    public void broken() {
        EndpointAttempt a = attempt;
        attempt = null;
        if (events != null) {
            events.dropPartial();
        }
        if (a != null && route.kind() != RouteKind.STREAMING) {
            countRun(a.sentNanos());
        }
        placeAgain("broken", false);
    }

    @Override
    public void streamed(HttpResponse head, ByteBuf content) {
        EventBuffer e = events;
        if (e == null) {
            e = new EventBuffer(content.alloc());
            events = e;
        }
        e.add(content);
        ByteBuf whole = e.takeEvents();
        EndpointAttempt a = attempt;
        if (whole == null || a == null) {
            return;
        }
        countRun(System.nanoTime());
        a.promptRead();
        a.passedOn();
        startStream(head);
        exchange.writeStream(whole);
        if (!exchange.isWritable()) {
            a.setReading(false);
        }
    }

    private void startStream(HttpResponse head) {
        if (!streaming) {
            streaming = true;
            exchange.startStream(head);
        }
    }

    @Override
    public void streamEnded(HttpResponse head) {
        attempt = null;
        startStream(head);
        countRun(System.nanoTime());
        ByteBuf rest = events == null ? null : events.takeRest();
        if (rest != null) {
            exchange.writeStream(rest);
        }
        end(Outcome.ANSWERED, "stream");
        exchange.endStream();
    }

    @Override
    public void answered(HttpResponse head, EndpointAnswer answer, ByteBuf body) {
        EndpointAttempt a = attempt;
        attempt = null;
        if (a != null) {
            countRun(a.sentNanos());
        }
        if (streaming) {
            // The stream has begun with another endpoint's events: this answer cannot join them.
            body.release();
            fail("not_resumed", 0);
        } else if (answer.isServerError() && hasAlternative() && reasonToGiveUp(false).isEmpty()) {
            body.release();
            mayHaveRun = true;
            logAgain("status_" + answer.status());
            place();
        } else {
            end(Outcome.ANSWERED, "status_" + answer.status());
            exchange.answer(head, body);
        }
    }

    private void giveBackQuota() {
        call.account()
                .flatMap(a -> state.accountQuotas().quota(a.id()))
                .ifPresent(q -> q.giveBack(call.units()));
    }

    /** Counts the request towards the account's usage when it begins to run. */
    private void countRun(long atNanos) {
        if (!counted) {
            counted = true;
            call.account().ifPresent(a -> state.countUsage(a.id().value(), atNanos));
        }
    }

    private void end(Outcome outcome, String cause) {
        if (ended) {
            return;
        }
        ended = true;
        open.remove(this);
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        if (events != null) {
            events.close();
        }
        long now = System.nanoTime();
        long millis = (now - exchange.arrivedNanos()) / CallContext.NANOS_PER_MILLI;
        state.counters().ended(outcome, millis);
        state.log()
                .line("request.ended")
                .add("id", call.request().id())
                .add("route", route.name())
                .add("account", call.accountName())
                .add("outcome", outcome.label())
                .add("cause", cause)
                .add("endpoints", tried)
                .add("sends", sends)
                .add("gave_up", gaveUp == null ? "-" : gaveUp)
                .add("units", Math.round(call.units()))
                .add("ms", millis)
                .write();
    }
}
