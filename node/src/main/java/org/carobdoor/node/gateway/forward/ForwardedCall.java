package org.carobdoor.node.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.deployment.Account;
import org.carobdoor.internal.deployment.EngineTraits;
import org.carobdoor.internal.deployment.Route;
import org.carobdoor.internal.deployment.RouteKind;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.health.SendOutcome;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.placement.EnginePlacement;
import org.carobdoor.internal.placement.Placement;
import org.carobdoor.internal.placement.PlainPlacement;
import org.carobdoor.internal.request.CallerRequest;
import org.carobdoor.internal.request.EndpointAnswer;
import org.carobdoor.internal.request.EndpointRequest;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.internal.request.PromptPart;
import org.carobdoor.node.gateway.endpoint.AnswerListener;
import org.carobdoor.node.gateway.endpoint.Endpoint;
import org.carobdoor.node.gateway.endpoint.Send;
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
final class ForwardedCall implements Exchange.Listener {
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int MISDIRECTED = 421;
    private static final int MAX_BODY_PARTS = 64;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Connections that cannot be opened are no sends, but trying them all would take too long. */
    private static final int MAX_CONNECT_FAILURES = 6;

    /** A request that may not be repeated only uses connections that were in use just now. */
    private static final long UNREPEATABLE_IDLE_NANOS = 700 * NANOS_PER_MILLI;

    /** An answer to the caller takes this long at most; the endpoint must end before. */
    private static final long ANSWER_MARGIN_MILLIS = 5;

    /** With less time left than this no endpoint can answer. */
    private static final long MIN_SEND_MILLIS = 10;

    /** Retry-After when a service has no endpoint: they are listed anew within seconds. */
    private static final long NO_ENDPOINT_RETRY_MILLIS = 600;

    /** Retry-After when endpoints refused a request: their queues shrink within this time. */
    private static final long REJECTED_RETRY_MILLIS = 250;

    /** Share of the time to the deadline that a queue may take before a request is refused. */
    private static final double PATIENCE_SHARE = 0.5;

    /** A safe request is given to another endpoint after this multiple of the usual time. */
    private static final double SLOW_ANSWER_FACTOR = 3;

    /** Share of the objective before which a slow safe request is not given up. */
    private static final double SLOW_ANSWER_SHARE = 0.5;

    /** Engine time that a generated token adds to a step which other requests share. */
    private static final double MILLIS_PER_GENERATED_TOKEN = 0.1;

    /** Prompt tokens that an engine reads in a millisecond when nothing else runs. */
    private static final double READ_TOKENS_PER_MILLI = 50;

    /** Share of the longest answer that answers have on average. */
    private static final double ANSWER_SHARE = 0.5;

    private final ForwardingState state;
    private final Exchange exchange;
    private final CallerRequest request;
    private final Route route;
    private final Service service;
    private final Optional<Account> account;
    private final double units;
    private final Set<ForwardedCall> open;
    private final Set<EndpointId> tried = new HashSet<>();
    private final long deadlineNanos;
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private @Nullable ScheduledFuture<?> slowTimer;
    private @Nullable Attempt attempt;
    private @Nullable EventBuffer events;
    private int sends;
    private int connectFailures;
    private boolean mayHaveRun;
    private boolean counted;
    private boolean streaming;
    private boolean ended;

    ForwardedCall(
            ForwardingState state,
            Exchange exchange,
            CallerRequest request,
            Route route,
            Service service,
            Optional<Account> account,
            double units,
            Set<ForwardedCall> open) {
        this.state = state;
        this.exchange = exchange;
        this.request = request;
        this.route = route;
        this.service = service;
        this.account = account;
        this.units = units;
        this.open = open;
        long patience =
                Math.min(request.waitMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
        deadlineNanos = exchange.arrivedNanos() + patience * NANOS_PER_MILLI;
    }

    void start() {
        exchange.setListener(this);
        state.budget(service.name()).onRequest();
        long left = deadlineNanos - System.nanoTime();
        deadlineTimer = state.loop().schedule(this::timeOut, left, TimeUnit.NANOSECONDS);
        request.prompt().ifPresent(p -> state.addWork(service.name(), engineMillis(p)));
        place();
    }

    /** Returns the engine time that a prompt takes whose shared parts are cached. */
    private static double engineMillis(Prompt p) {
        int shared =
                p.parts().subList(0, p.sharedParts()).stream().mapToInt(PromptPart::tokens).sum();
        return Math.max(0, p.promptTokens() - shared) / READ_TOKENS_PER_MILLI
                + p.answerTokens() * ANSWER_SHARE * MILLIS_PER_GENERATED_TOKEN;
    }

    private void place() {
        long now = System.nanoTime();
        if (millisLeft(now) < MIN_SEND_MILLIS) {
            timeOut();
            return;
        }
        switch (choose(candidates(now), now)) {
            case Placement.NoEndpoint() ->
                    fail("no_endpoint", BAD_GATEWAY, NO_ENDPOINT_RETRY_MILLIS);
            case Placement.Saturated(long retryAfter) -> fail("saturated", BAD_GATEWAY, retryAfter);
            case Placement.Chosen(EndpointLoad load, double expected, int unread) -> {
                Optional<Endpoint> endpoint = state.endpoints().find(load.entry().id());
                if (endpoint.isEmpty()) {
                    fail("no_endpoint", BAD_GATEWAY, NO_ENDPOINT_RETRY_MILLIS);
                    return;
                }
                attempt = new Attempt(endpoint.get(), expected, unread);
                attempt.open();
            }
        }
    }

    private List<EndpointLoad> candidates(long now) {
        return state.endpoints().accepting(service.name(), now).stream()
                .filter(e -> !tried.contains(e.entry().id()))
                .toList();
    }

    private Placement choose(List<EndpointLoad> candidates, long now) {
        double patience = millisLeft(now) * PATIENCE_SHARE;
        if (service.engine().isPresent() && request.prompt().isPresent()) {
            EngineTraits engine = service.engine().get();
            Prompt prompt = request.prompt().get();
            if (prompt.totalTokens() > engine.memoryTokens()) {
                return new Placement.Saturated(0);
            }
            return EnginePlacement.choose(
                    candidates,
                    prompt,
                    engine.slots(),
                    engine.memoryTokens(),
                    state.zone(),
                    patience,
                    now);
        }
        return PlainPlacement.choose(candidates, state.zone(), patience, now);
    }

    private long millisLeft(long now) {
        return (deadlineNanos - now) / NANOS_PER_MILLI;
    }

    /** Tries again after an attempt that failed, if that is allowed; else ends the request. */
    private void placeAgain(String cause, boolean attemptNotRun, boolean countsAsSend) {
        mayHaveRun |= !attemptNotRun;
        boolean repeatable = attemptNotRun || route.isRepeatable();
        boolean attemptsLeft = !countsAsSend || sends < route.maxAttempts();
        boolean budget =
                repeatable
                        && attemptsLeft
                        && (!countsAsSend
                                || sends == 0
                                || state.budget(service.name()).tryTake(Instant.now()));
        if (budget && connectFailures <= MAX_CONNECT_FAILURES) {
            state.log()
                    .line("request.again")
                    .add("id", request.id())
                    .add("cause", cause)
                    .add("sends", sends)
                    .write();
            place();
        } else {
            fail(cause, BAD_GATEWAY, REJECTED_RETRY_MILLIS);
        }
    }

    /** Ends the request without an endpoint's answer. */
    private void fail(String cause, int statusIfRun, long retryAfterMillis) {
        if (streaming) {
            end(Outcome.CUT_OFF, cause);
            exchange.abort();
        } else if (mayHaveRun) {
            end(Outcome.FAILED, cause);
            exchange.refuse(Refusal.failed(statusIfRun, cause));
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
        if (streaming) {
            end(Outcome.TIMED_OUT, "deadline");
            exchange.abort();
        } else {
            end(Outcome.TIMED_OUT, "deadline");
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
        Attempt a = attempt;
        if (a != null) {
            a.send.setReading(writable);
        }
    }

    /** Abandons the attempt; returns whether it may have run. */
    private boolean closeAttempt() {
        Attempt a = attempt;
        attempt = null;
        if (a == null) {
            return false;
        }
        a.close();
        if (a.written && route.kind() != RouteKind.STREAMING) {
            // The endpoint had it and runs it as a rule; a stream counts with its first event.
            countRun(a.sentNanos);
        }
        return a.written;
    }

    private void giveBackQuota() {
        account.flatMap(a -> state.accounts().quota(a.id())).ifPresent(q -> q.giveBack(units));
    }

    private void end(Outcome outcome, String cause) {
        if (ended) {
            return;
        }
        ended = true;
        open.remove(this);
        cancel(deadlineTimer);
        cancel(slowTimer);
        if (events != null) {
            events.close();
        }
        long now = System.nanoTime();
        long millis = (now - exchange.arrivedNanos()) / NANOS_PER_MILLI;
        state.counters().ended(outcome, millis);
        state.log()
                .line("request.ended")
                .add("id", request.id())
                .add("route", route.name())
                .add("account", account.map(a -> a.id().value()).orElse("-"))
                .add("outcome", outcome.label())
                .add("cause", cause)
                .add("endpoints", tried)
                .add("sends", sends)
                .add("units", Math.round(units))
                .add("ms", millis)
                .write();
    }

    private static void cancel(@Nullable ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Counts the request towards the account's usage when it begins to run. */
    private void countRun(long now) {
        if (!counted) {
            counted = true;
            account.ifPresent(a -> state.countUsage(a.id().value(), now));
        }
    }

    /** One sending of the request to one endpoint. */
    private final class Attempt implements AnswerListener, AutoCloseable {
        private final Endpoint endpoint;
        private final EndpointLoad load;
        private final Send send;
        private final double expectedMillis;
        private final int unread;
        private final long tokens;
        private final long queuedTokens;
        private int unreadLeft;
        private boolean written;
        private boolean firstByte;
        private boolean released;
        private long sentNanos;
        private @Nullable HttpResponse head;
        private @Nullable EndpointAnswer answer;
        private @Nullable CompositeByteBuf body;

        Attempt(Endpoint endpoint, double expectedMillis, int unread) {
            this.endpoint = endpoint;
            this.load = endpoint.load();
            this.expectedMillis = expectedMillis;
            this.unread = unread;
            this.unreadLeft = unread;
            this.tokens = request.prompt().map(Prompt::totalTokens).orElse(0L);
            this.queuedTokens = load.unreadEverywhere();
            this.send =
                    endpoint.openSend(
                            route.isRepeatable() ? Long.MAX_VALUE : UNREPEATABLE_IDLE_NANOS);
        }

        void open() {
            tried.add(load.entry().id());
            load.sent(unread, tokens, System.nanoTime());
            send.open(
                    new Send.Opened() {
                        @Override
                        public void ready() {
                            write();
                        }

                        @Override
                        public void failed(String detail) {
                            release();
                            attempt = null;
                            connectFailures++;
                            record(SendOutcome.UNREACHABLE, detail);
                            placeAgain("unreachable", true, false);
                        }
                    });
        }

        private void write() {
            long now = System.nanoTime();
            long left = millisLeft(now) - ANSWER_MARGIN_MILLIS;
            if (ended || left < MIN_SEND_MILLIS) {
                // The deadline's timer ends the request.
                return;
            }
            FullHttpRequest message =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            exchange.head().method(),
                            exchange.head().uri(),
                            exchange.body().retainedDuplicate());
            EndpointPassing.fill(message, exchange.head(), endpointRequest(left));
            sentNanos = now;
            written = true;
            state.counters().sent(sends > 0);
            sends++;
            request.prompt().ifPresent(p -> load.residentParts().read(p.parts()));
            send.write(message, request.id(), this);
            watchForSlowness();
        }

        private EndpointRequest endpointRequest(long left) {
            OptionalInt urgency = OptionalInt.empty();
            if (service.engine().isPresent()) {
                int rank =
                        account.filter(a -> a.priority().isPresent())
                                .map(a -> a.priority().getAsInt())
                                .orElse(route.priority());
                urgency = OptionalInt.of(Math.clamp(rank, 0, 9));
            }
            EventBuffer e = events;
            String last = e == null ? null : e.lastId();
            return new EndpointRequest(
                    left,
                    account.map(a -> a.id().value()).orElse(null),
                    load.entry().id(),
                    urgency,
                    last != null ? Optional.of(last) : request.resumeAfter());
        }

        /** A repeatable request does not wait for its deadline at an endpoint that hangs. */
        private void watchForSlowness() {
            if (!route.isRepeatable() || sends >= route.maxAttempts()) {
                return;
            }
            double limit = route.objectiveMillis() * SLOW_ANSWER_SHARE;
            limit = Math.max(limit, expectedMillis * SLOW_ANSWER_FACTOR);
            slowTimer =
                    state.loop()
                            .schedule(this::checkSlow, Math.round(limit), TimeUnit.MILLISECONDS);
        }

        private void checkSlow() {
            if (ended || attempt != this || firstByte) {
                return;
            }
            boolean plain = route.kind() == RouteKind.SAFE;
            if (plain || load.isSuspect(System.nanoTime())) {
                attempt = null;
                close();
                record(SendOutcome.TIMED_OUT, "no answer yet");
                placeAgain("slow_endpoint", false, true);
            } else {
                watchForSlowness();
            }
        }

        @Override
        public void onHead(HttpResponse h, EndpointAnswer a) {
            head = h;
            answer = a;
            firstByte = true;
            if (a.encoded() || (isSuccess(a) && !a.signed())) {
                onBrokenAnswer("not the endpoint's answer");
            }
        }

        @Override
        public void onContent(ByteBuf content) {
            EndpointAnswer a = answer;
            if (a == null || attempt != this) {
                content.release();
                return;
            }
            if (route.kind() == RouteKind.STREAMING && isSuccess(a)) {
                relay(content);
                return;
            }
            if (body == null) {
                body = content.alloc().compositeBuffer(MAX_BODY_PARTS);
            }
            body.addComponent(true, content);
        }

        private void relay(ByteBuf content) {
            EventBuffer e = events;
            if (e == null) {
                e = new EventBuffer(content.alloc());
                events = e;
            }
            e.add(content);
            ByteBuf whole = e.takeEvents();
            if (whole == null) {
                return;
            }
            promptRead();
            startStream();
            exchange.writeStream(whole);
            if (!exchange.isWritable()) {
                send.setReading(false);
            }
        }

        private void startStream() {
            HttpResponse h = head;
            if (!streaming && h != null) {
                streaming = true;
                exchange.startStream(h);
            }
        }

        private void promptRead() {
            long now = System.nanoTime();
            countRun(now);
            if (unreadLeft > 0) {
                load.promptRead(unreadLeft);
                unreadLeft = 0;
                load.learnPace(
                        (int) (unread + queuedTokens),
                        (now - sentNanos) / (double) NANOS_PER_MILLI);
            }
        }

        @Override
        public void onEnd() {
            EndpointAnswer a = answer;
            HttpResponse h = head;
            if (attempt != this || a == null || h == null) {
                return;
            }
            attempt = null;
            release();
            if (a.notExecuted()) {
                rejected(a);
            } else if (route.kind() == RouteKind.STREAMING && isSuccess(a)) {
                endStream();
            } else {
                answerWhole(h, a);
            }
        }

        private void rejected(EndpointAnswer a) {
            releaseBody();
            boolean misdirected = a.status() == MISDIRECTED;
            record(SendOutcome.REJECTED, "status " + a.status());
            if (misdirected) {
                // Another endpoint has the address; the one that was meant saw nothing.
                sends--;
            }
            placeAgain("rejected", true, !misdirected);
        }

        private void endStream() {
            EventBuffer e = events;
            record(SendOutcome.ANSWERED, "");
            startStream();
            countRun(System.nanoTime());
            ByteBuf rest = e == null ? null : e.takeRest();
            if (rest != null) {
                exchange.writeStream(rest);
            }
            end(Outcome.ANSWERED, "stream");
            exchange.endStream();
        }

        private void answerWhole(HttpResponse h, EndpointAnswer a) {
            long now = now();
            boolean failed = a.status() >= FIRST_SERVER_ERROR;
            record(failed ? SendOutcome.FAILED : SendOutcome.ANSWERED, "status " + a.status());
            countRun(sentNanos);
            if (streaming) {
                // The stream has begun with another endpoint's events: this answer cannot join
                // them.
                releaseBody();
                fail("not_resumed", BAD_GATEWAY, 0);
                return;
            }
            if (!failed) {
                load.learnAnswer((now - sentNanos) / (double) NANOS_PER_MILLI);
            }
            if (failed
                    && route.isRepeatable()
                    && sends < route.maxAttempts()
                    && !candidates(now).isEmpty()
                    && state.budget(service.name()).tryTake(Instant.now())) {
                releaseBody();
                mayHaveRun = true;
                place();
                return;
            }
            ByteBuf content = body == null ? Unpooled.EMPTY_BUFFER : body;
            body = null;
            end(Outcome.ANSWERED, "status_" + a.status());
            exchange.answer(h, content);
        }

        @Override
        public void onBroken(String detail) {
            if (attempt != this) {
                return;
            }
            onBrokenAnswer(detail);
        }

        private void onBrokenAnswer(String detail) {
            attempt = null;
            close();
            if (events != null) {
                events.dropPartial();
            }
            record(SendOutcome.BROKEN, detail);
            if (route.kind() != RouteKind.STREAMING) {
                countRun(sentNanos);
            }
            placeAgain("broken", false, true);
        }

        private void record(SendOutcome outcome, String detail) {
            load.health().record(outcome, state.endpoints().failureRate(service.name()), now());
            if (outcome != SendOutcome.ANSWERED) {
                state.log()
                        .line("send.failed")
                        .add("id", request.id())
                        .add("endpoint", load.entry().id())
                        .add("outcome", outcome)
                        .add("reused", written && firstByte)
                        .add("ms", written ? (now() - sentNanos) / NANOS_PER_MILLI : -1)
                        .add("ejected", load.health().isEjected(now()))
                        .add("detail", '"' + detail + '"')
                        .write();
            }
        }

        private long now() {
            return System.nanoTime();
        }

        private void releaseBody() {
            if (body != null) {
                body.release();
                body = null;
            }
        }

        private void release() {
            if (!released) {
                released = true;
                load.ended(unreadLeft, tokens);
            }
        }

        @Override
        public void close() {
            send.close();
            releaseBody();
            release();
        }

        private static boolean isSuccess(EndpointAnswer a) {
            return a.status() >= 200 && a.status() < 300;
        }
    }
}
