package org.carobdoor.node.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.deployment.Route;
import org.carobdoor.internal.deployment.RouteKind;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.fleet.EngineTimeEstimator;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.placement.Placement;
import org.carobdoor.internal.request.EndpointAnswer;
import org.carobdoor.internal.retries.GiveUpReason;
import org.carobdoor.node.gateway.endpoint.Endpoint;
import org.carobdoor.node.gateway.front.ErrorResponse;
import org.carobdoor.node.gateway.front.Exchange;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one request: selects an endpoint, sends the request, retries it where that is allowed,
 * and responds to the caller exactly once.
 *
 * <p>A request is retried only if the endpoint stated that it did not run it, if no byte of it can
 * have been sent, or if its route allows a second run; never after its deadline, on more endpoints
 * than the route allows, or beyond the retry budget. An error response that states "not run" is
 * sent only if no endpoint can have run the request. Confined to the event loop.
 */
final class ForwardedCall implements Exchange.Listener, AttemptListener {
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    /**
     * Failed connection attempts do not count as sends, but trying all endpoints would take too
     * long.
     */
    private static final int MAX_CONNECT_FAILURES = 6;

    /** Retry-After if a service has no endpoint: new ones are listed within seconds. */
    private static final long NO_ENDPOINT_RETRY_AFTER_MILLIS = 600;

    /** Retry-After of a request whose pattern was quarantined while it waited to be sent. */
    private static final long QUARANTINED_RETRY_AFTER_MILLIS = 60_000;

    /** Retry-After if endpoints rejected a request: their queues shrink within this time. */
    private static final long REJECTED_RETRY_AFTER_MILLIS = 250;

    /** Retry-After if no endpoint has the version that began a stream any more. */
    private static final long VERSION_GONE_RETRY_AFTER_MILLIS = 60_000;

    private final CallContext call;
    private final ForwardingState state;
    private final Exchange exchange;
    private final Route route;
    private final Service service;
    private final VersionBinding binding;
    private final Set<ForwardedCall> openCalls;
    private final Set<EndpointId> triedEndpoints = new HashSet<>();
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private @Nullable EndpointAttempt attempt;
    private @Nullable EventBuffer eventBuffer;
    private @Nullable GiveUpReason giveUpReason;
    private int sends;
    private int misdirectedSends;
    private int connectFailures;
    private boolean mayHaveRun;
    private boolean usageCounted;
    private boolean streamStarted;
    private boolean ended;

    /** Whether the request goes to a version that is being rolled out. */
    private boolean toNewVersion;

    /**
     * Creates a call that has not started.
     *
     * @param openCalls the unfinished calls of the node, from which this call removes itself when
     *     it ends
     */
    ForwardedCall(CallContext call, Set<ForwardedCall> openCalls) {
        this.call = call;
        this.state = call.state();
        this.exchange = call.exchange();
        this.route = call.route();
        this.service = call.service();
        this.binding = new VersionBinding(call);
        this.openCalls = openCalls;
    }

    void start() {
        exchange.setListener(this);
        state.retries().onRequest(service.name(), System.nanoTime());
        long remainingNanos = call.deadlineNanos() - System.nanoTime();
        deadlineTimer = state.loop().schedule(this::timeOut, remainingNanos, TimeUnit.NANOSECONDS);
        call.request()
                .prompt()
                .ifPresent(p -> state.addEngineTime(service.name(), EngineTimeEstimator.millis(p)));
        toNewVersion = state.versions().selector().choosesNew(service.name(), state.random());
        binding.determine(this::selectAndSend, retryAfter -> fail("unknown_version", retryAfter));
    }

    private void failWithoutEndpoint() {
        if (binding.isVersionGone()) {
            fail("version_gone", VERSION_GONE_RETRY_AFTER_MILLIS);
        } else {
            fail("no_endpoint", NO_ENDPOINT_RETRY_AFTER_MILLIS);
        }
    }

    private void selectAndSend() {
        long now = System.nanoTime();
        if (call.remainingMillis(now) < EndpointAttempt.MIN_REMAINING_MILLIS) {
            timeOut();
            return;
        }
        Placement placement = EndpointSelection.choose(call, candidates(now), now);
        if (toNewVersion && !(placement instanceof Placement.Chosen)) {
            toNewVersion = false;
            placement = EndpointSelection.choose(call, candidates(now), now);
        }
        switch (placement) {
            case Placement.NoEndpoint() -> failWithoutEndpoint();
            case Placement.Saturated(long retryAfter) -> fail("saturated", retryAfter);
            case Placement.Chosen chosen -> send(chosen);
        }
    }

    private List<EndpointLoad> candidates(long now) {
        boolean isNew = toNewVersion && sends == 0;
        return binding.candidates(isNew, now).stream()
                .filter(e -> !triedEndpoints.contains(e.entry().id()))
                .toList();
    }

    private void send(Placement.Chosen chosen) {
        EndpointId id = chosen.endpoint().entry().id();
        Optional<Endpoint> endpoint = state.endpoints().find(id);
        if (endpoint.isEmpty()) {
            fail("no_endpoint", NO_ENDPOINT_RETRY_AFTER_MILLIS);
            return;
        }
        triedEndpoints.add(id);
        EndpointAttempt a = new EndpointAttempt(call, endpoint.get(), chosen, this);
        attempt = a;
        EventBuffer e = eventBuffer;
        a.start(
                e == null ? null : e.lastId(),
                () -> {
                    state.counters().recordSend(service.name(), sends > 0);
                    state.versions().selector().recordSent(chosen.endpoint().entry());
                    binding.recordSent(chosen.endpoint().entry());
                    sends++;
                    if (route.isRepeatable() && hasAttemptsLeft()) {
                        a.scheduleSlowResponseCheck();
                    }
                });
    }

    /** Retries after a failed attempt if that is allowed; otherwise ends the request. */
    private void retryOrGiveUp(String cause, boolean attemptNotRun) {
        mayHaveRun |= !attemptNotRun;
        Optional<GiveUpReason> reason = acquireRetry(cause, attemptNotRun);
        if (reason.isPresent()) {
            giveUp(reason.get(), cause);
        } else {
            CallLog.retry(call, cause, sends);
            selectAndSend();
        }
    }

    private void giveUp(GiveUpReason reason, String cause) {
        giveUpReason = reason;
        fail(cause, REJECTED_RETRY_AFTER_MILLIS);
    }

    /** Takes a retry from the budget; returns the reason if a retry is not allowed. */
    private Optional<GiveUpReason> acquireRetry(String cause, boolean attemptNotRun) {
        if (call.trial()) {
            return Optional.of(GiveUpReason.SUSPECT);
        }
        if (!attemptNotRun && !route.isRepeatable()) {
            return Optional.of(GiveUpReason.NOT_REPEATABLE);
        }
        if (!hasAttemptsLeft()) {
            return Optional.of(GiveUpReason.ATTEMPTS);
        }
        boolean taken = state.tryTakeRetry(service.name(), cause);
        return taken ? Optional.empty() : Optional.of(GiveUpReason.BUDGET);
    }

    private boolean hasAttemptsLeft() {
        return sends - misdirectedSends < route.maxAttempts();
    }

    /** Ends the request without a response from an endpoint. */
    private void fail(String cause, long retryAfterMillis) {
        if (streamStarted) {
            end(Outcome.CUT_OFF, cause);
            exchange.abort();
        } else if (mayHaveRun) {
            end(Outcome.FAILED, cause);
            exchange.sendError(ErrorResponse.outcomeUnknown(BAD_GATEWAY, cause));
        } else {
            refundQuota();
            end(Outcome.REFUSED, cause);
            exchange.sendError(ErrorResponse.unavailable(cause, retryAfterMillis));
        }
    }

    private void timeOut() {
        if (attempt != null) {
            attempt.recordUnanswered();
        }
        abandon("deadline");
    }

    /**
     * Ends the request because the process is about to exit. An error response states whether the
     * request may have run, which a closed connection would not.
     */
    void endBeforeExit() {
        abandon("stopping");
    }

    private void abandon(String cause) {
        if (ended) {
            return;
        }
        mayHaveRun |= closeAttempt();
        end(Outcome.TIMED_OUT, cause);
        if (streamStarted) {
            exchange.abort();
        } else {
            exchange.sendError(
                    mayHaveRun
                            ? ErrorResponse.outcomeUnknown(GATEWAY_TIMEOUT, cause)
                            : ErrorResponse.unavailable(cause, 0));
        }
    }

    @Override
    public void onCallerDisconnected() {
        closeAttempt();
        end(Outcome.CALLER_GONE, "caller_gone");
    }

    @Override
    public void onWritabilityChanged(boolean writable) {
        EndpointAttempt a = attempt;
        if (a != null) {
            a.setReadEnabled(writable);
        }
    }

    /** Abandons the attempt; returns whether the endpoint may have run the request. */
    private boolean closeAttempt() {
        EndpointAttempt a = attempt;
        attempt = null;
        if (a == null) {
            return false;
        }
        a.close();
        if (a.isWritten() && route.kind() != RouteKind.STREAMING) {
            // An endpoint usually runs a request that it has received. A stream is counted when its
            // first event arrives.
            countUsage(a.sentNanos());
        }
        return a.isWritten();
    }

    @Override
    public void onUnreachable() {
        attempt = null;
        connectFailures++;
        if (connectFailures > MAX_CONNECT_FAILURES) {
            giveUp(GiveUpReason.ATTEMPTS, "unreachable");
        } else {
            // Nothing was sent, so this does not use a retry from the budget.
            CallLog.retry(call, "unreachable", sends);
            selectAndSend();
        }
    }

    @Override
    public void onEndpointLeaving() {
        attempt = null;
        CallLog.retry(call, "leaving", sends);
        selectAndSend();
    }

    @Override
    public boolean isUsable(EndpointEntry endpoint) {
        return binding.allows(endpoint);
    }

    @Override
    public void onRejected(EndpointAnswer decodedHead) {
        attempt = null;
        if (decodedHead.isMisdirected()) {
            // Another endpoint uses the address now; the intended endpoint has not received the
            // request.
            misdirectedSends++;
        }
        retryOrGiveUp("rejected", true);
    }

    @Override
    public boolean hasOtherEndpoint() {
        return !candidates(System.nanoTime()).isEmpty();
    }

    @Override
    public void onSlowResponse() {
        attempt = null;
        retryOrGiveUp("slow_endpoint", false);
    }

    @Override
    public void onQuarantined() {
        attempt = null;
        refuseQuarantined();
    }

    private void refuseQuarantined() {
        giveUpReason = GiveUpReason.SUSPECT;
        fail(ErrorResponse.QUARANTINED, QUARANTINED_RETRY_AFTER_MILLIS);
    }

    /**
     * Abandons the request if it now matches a quarantined pattern and its response has not begun,
     * so that the endpoint does not crash on it.
     */
    void abandonIfQuarantined() {
        EndpointAttempt a = attempt;
        if (a != null && a.isWritten() && !a.isBegun() && call.quarantineEntry().isPresent()) {
            mayHaveRun |= closeAttempt();
            refuseQuarantined();
        }
    }

    @Override
    public void onBrokenResponse(boolean crashPossible) {
        EndpointAttempt a = attempt;
        attempt = null;
        if (eventBuffer != null) {
            eventBuffer.discardPartialEvent();
        }
        if (a != null && route.kind() != RouteKind.STREAMING) {
            countUsage(a.sentNanos());
        }
        boolean suspect = crashPossible && state.quarantine().isSuspect(call.features());
        if (suspect) {
            // A further attempt of a request that has ended an endpoint would end another one.
            mayHaveRun = true;
            giveUp(GiveUpReason.SUSPECT, "broken");
        } else {
            retryOrGiveUp("broken", false);
        }
    }

    @Override
    public void onStreamData(HttpResponse head, ByteBuf content) {
        EventBuffer e = eventBuffer;
        if (e == null) {
            e = new EventBuffer(content.alloc());
            eventBuffer = e;
        }
        e.add(content);
        String forwardedId = e.lastId();
        ByteBuf completeEvents = e.takeEvents();
        EndpointAttempt a = attempt;
        if (completeEvents == null || a == null) {
            return;
        }
        if (!a.isBegun()
                && streamStarted
                && !EventBuffer.continuesAfter(forwardedId, completeEvents)) {
            completeEvents.release();
            closeAttempt();
            mayHaveRun = true;
            fail("not_resumed", 0);
            return;
        }
        countUsage(System.nanoTime());
        binding.recordBegun();
        a.onTokens();
        a.markForwarded();
        startStream(head);
        exchange.writeStream(completeEvents);
        if (!exchange.isWritable()) {
            a.setReadEnabled(false);
        }
    }

    private void startStream(HttpResponse head) {
        if (!streamStarted) {
            streamStarted = true;
            exchange.startStream(head);
        }
    }

    @Override
    public boolean isStreamComplete(HttpResponse head) {
        boolean framed =
                HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        EventBuffer e = eventBuffer;
        EndpointAttempt a = attempt;
        return (framed || (a != null && a.isBegun())) && (e == null || !e.isInsideEvent());
    }

    @Override
    public void onStreamEnd(HttpResponse head) {
        attempt = null;
        startStream(head);
        countUsage(System.nanoTime());
        ByteBuf remainder = eventBuffer == null ? null : eventBuffer.takeRemainder();
        if (remainder != null) {
            exchange.writeStream(remainder);
        }
        end(Outcome.ANSWERED, "stream");
        exchange.endStream();
    }

    @Override
    public void onResponse(HttpResponse head, EndpointAnswer decodedHead, ByteBuf body) {
        EndpointAttempt a = attempt;
        attempt = null;
        if (a != null) {
            countUsage(a.sentNanos());
        }
        if (streamStarted) {
            // The caller has already received events of another endpoint's response, which this
            // response cannot continue.
            body.release();
            fail("not_resumed", 0);
        } else if (decodedHead.isServerError()
                && hasOtherEndpoint()
                && acquireRetry("status_" + decodedHead.status(), false).isEmpty()) {
            body.release();
            mayHaveRun = true;
            CallLog.retry(call, "status_" + decodedHead.status(), sends);
            selectAndSend();
        } else {
            end(Outcome.ANSWERED, "status_" + decodedHead.status());
            exchange.sendResponse(head, body);
        }
    }

    private void refundQuota() {
        call.account()
                .flatMap(a -> state.accountQuotas().quota(a.id()))
                .ifPresent(q -> q.refund(call.units()));
    }

    /** Counts the request once in the usage of the account, at the time when it began to run. */
    private void countUsage(long atNanos) {
        if (!usageCounted) {
            usageCounted = true;
            call.account().ifPresent(a -> state.countUsage(a.id().value(), atNanos));
        }
    }

    private void end(Outcome outcome, String cause) {
        if (ended) {
            return;
        }
        ended = true;
        openCalls.remove(this);
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        if (eventBuffer != null) {
            eventBuffer.close();
        }
        long now = System.nanoTime();
        long millis = (now - exchange.arrivedNanos()) / CallContext.NANOS_PER_MILLI;
        state.counters().recordEnd(outcome, millis);
        CallLog.ended(call, outcome, cause, triedEndpoints, sends, giveUpReason, millis);
    }
}
