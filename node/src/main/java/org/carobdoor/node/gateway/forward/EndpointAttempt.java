package org.carobdoor.node.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.deployment.RouteKind;
import org.carobdoor.internal.directory.EndpointNews;
import org.carobdoor.internal.health.SendOutcome;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.placement.Placement;
import org.carobdoor.internal.request.EndpointAnswer;
import org.carobdoor.internal.request.EndpointRequest;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.node.gateway.endpoint.Endpoint;
import org.carobdoor.node.gateway.endpoint.EndpointExchange;
import org.carobdoor.node.gateway.endpoint.ResponseListener;
import org.carobdoor.node.gateway.net.BodyBuffer;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to send a request to an endpoint. Updates the load and the health of the endpoint,
 * and notifies its listener of the result. Confined to the event loop.
 */
final class EndpointAttempt implements ResponseListener, AutoCloseable {
    private static final int MAX_LOGGED_PARTS = 8;
    private static final int MAX_URGENCY = 9;

    /** A response with this status has no body; callers differ in whether they read one. */
    private static final int RESET_CONTENT = 205;

    /**
     * Longest idle time of a connection that carries a request which must not be repeated: the
     * endpoint may be closing a connection that has been idle for longer.
     */
    private static final long NON_REPEATABLE_MAX_IDLE_NANOS = 700 * CallContext.NANOS_PER_MILLI;

    /**
     * Maximum time to return the response to the caller. The deadline given to the endpoint is
     * earlier by this time.
     */
    private static final long RESPONSE_MARGIN_MILLIS = 5;

    /** Minimum time before the deadline: no endpoint can respond in less. */
    static final long MIN_REMAINING_MILLIS = 10;

    /**
     * A repeatable request is tried on another endpoint after this multiple of its expected
     * response time.
     */
    private static final double SLOW_RESPONSE_FACTOR = 3;

    /**
     * A response that began less than this time before the connection broke may still be the one
     * that the endpoint crashed on.
     */
    private static final long JUST_BEGUN_NANOS = 100 * CallContext.NANOS_PER_MILLI;

    /** Fraction of the route's latency objective before which an attempt is not considered slow. */
    private static final double SLOW_RESPONSE_OBJECTIVE_FRACTION = 0.5;

    private final CallContext call;
    private final AttemptListener listener;
    private final Endpoint endpoint;
    private final EndpointLoad load;
    private final EndpointExchange endpointExchange;
    private final double expectedMillis;
    private final int prefillTokens;
    private final long promptTokens;
    private final long queuedPrefillTokens;
    private @Nullable ServiceTimeProbe serviceTime;
    private @Nullable ScheduledFuture<?> slowResponseTimer;
    private @Nullable HttpResponse head;
    private @Nullable EndpointAnswer decodedHead;
    private @Nullable BodyBuffer body;
    private Runnable beforeWrite = () -> {};
    private int remainingPrefillTokens;
    private boolean written;
    private boolean closed;
    private boolean begun;
    private boolean survived;
    private long headNanos;
    private long begunNanos;
    private long sentNanos;

    EndpointAttempt(
            CallContext call,
            Endpoint endpoint,
            Placement.Chosen chosen,
            AttemptListener listener) {
        this.call = call;
        this.listener = listener;
        this.endpoint = endpoint;
        this.load = endpoint.load();
        this.expectedMillis = chosen.expectedMillis();
        this.prefillTokens = chosen.unreadTokens();
        this.remainingPrefillTokens = prefillTokens;
        this.promptTokens = call.request().prompt().map(Prompt::totalTokens).orElse(0L);
        this.queuedPrefillTokens = load.totalUnreadTokens();
        boolean repeatable = call.route().isRepeatable();
        this.endpointExchange =
                endpoint.newExchange(repeatable ? Long.MAX_VALUE : NON_REPEATABLE_MAX_IDLE_NANOS);
    }

    /** Returns whether any byte of the request may have been sent. */
    boolean isWritten() {
        return written;
    }

    /** Returns whether the response has begun. */
    boolean isBegun() {
        return begun;
    }

    /** Returns when the request was sent, in {@link System#nanoTime}. */
    long sentNanos() {
        return sentNanos;
    }

    /** Pauses or resumes reading the response. */
    void setReadEnabled(boolean reading) {
        endpointExchange.setReadEnabled(reading);
    }

    /**
     * Acquires a connection and sends the request.
     *
     * @param lastEventId the event after which to resume a stream; null if there is none to resume
     * @param beforeWriteTask runs just before the request is written
     */
    void start(@Nullable String lastEventId, Runnable beforeWriteTask) {
        beforeWrite = beforeWriteTask;
        load.recordSent(prefillTokens, promptTokens, now());
        endpointExchange.open(
                new EndpointExchange.OpenListener() {
                    @Override
                    public void onReady() {
                        write(lastEventId);
                    }

                    @Override
                    public void onFailure(String detail) {
                        close();
                        recordOutcome(SendOutcome.UNREACHABLE, detail);
                        listener.onUnreachable();
                    }
                });
    }

    private void write(@Nullable String lastEventId) {
        long now = now();
        long remainingMillis = call.remainingMillis(now) - RESPONSE_MARGIN_MILLIS;
        if (remainingMillis < MIN_REMAINING_MILLIS) {
            // The deadline timer ends the request.
            return;
        }
        if (call.quarantineEntry().isPresent()) {
            close();
            listener.onQuarantined();
            return;
        }
        if (!endpoint.isAccepting() || !listener.isUsable(load.entry())) {
            close();
            logWithheld();
            listener.onEndpointLeaving();
            return;
        }
        if (!call.exchange().confirmCallerWaits()) {
            // The listener closes this attempt when it learns of it.
            return;
        }
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        call.exchange().head().method(),
                        call.exchange().head().uri(),
                        call.exchange().body().retainedDuplicate());
        EndpointRequestHeaders.populate(
                message, call.exchange().head(), endpointRequest(remainingMillis, lastEventId));
        sentNanos = now;
        written = true;
        serviceTime = ServiceTimeProbe.start(call, load, prefillTokens + queuedPrefillTokens, now);
        beforeWrite.run();
        call.request().prompt().ifPresent(p -> load.residentParts().recordPrefill(p.parts()));
        endpointExchange.write(message, call.request().id(), this);
    }

    private void logWithheld() {
        EndpointNews news = endpoint.news();
        call.state().counters().recordWithheld(news.source().kind());
        call.state()
                .log()
                .line("send.withheld")
                .add("id", call.request().id())
                .add("endpoint", load.entry().id())
                .add("source", news.source().kind().label())
                .add("revision", news.revision())
                .add("known_ms", endpoint.knownForMillis())
                .write();
    }

    private EndpointRequest endpointRequest(long remainingMillis, @Nullable String lastEventId) {
        OptionalInt urgency = OptionalInt.empty();
        if (call.service().engine().isPresent()) {
            urgency = OptionalInt.of(Math.clamp(call.rank(), 0, MAX_URGENCY));
        }
        return new EndpointRequest(
                remainingMillis,
                call.account().map(a -> a.id().value()).orElse(null),
                load.entry().id(),
                urgency,
                lastEventId != null ? Optional.of(lastEventId) : call.request().resumeAfter());
    }

    /**
     * Schedules a check that abandons the attempt if the endpoint hangs, so that another endpoint
     * can be tried before the deadline.
     */
    void scheduleSlowResponseCheck() {
        double delayMillis = call.route().objectiveMillis() * SLOW_RESPONSE_OBJECTIVE_FRACTION;
        delayMillis = Math.max(delayMillis, expectedMillis * SLOW_RESPONSE_FACTOR);
        slowResponseTimer =
                call.state()
                        .loop()
                        .schedule(
                                this::checkSlowResponse,
                                Math.round(delayMillis),
                                TimeUnit.MILLISECONDS);
    }

    private void checkSlowResponse() {
        if (closed || head != null) {
            return;
        }
        // Prompts may be queued at the engine, so a missing response alone is no sign of a failure.
        // Only an endpoint that sends no bytes for any request is considered hung.
        boolean isHung = call.route().kind() == RouteKind.SAFE || load.isSuspect(now());
        if (isHung && listener.hasOtherEndpoint()) {
            close();
            recordOutcome(SendOutcome.TIMED_OUT, "no response within the expected time");
            listener.onSlowResponse();
        } else {
            scheduleSlowResponseCheck();
        }
    }

    @Override
    public void onHead(HttpResponse h, EndpointAnswer a) {
        head = h;
        headNanos = now();
        decodedHead = a;
        if (a.encoded() || (a.isSuccess() && !a.signed())) {
            onFailure("response is encoded or lacks the endpoint's signature");
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        EndpointAnswer a = decodedHead;
        HttpResponse h = head;
        if (a == null || h == null || closed) {
            content.release();
        } else if (a.status() == RESET_CONTENT) {
            content.release();
            onFailure("body in a response with status 205");
        } else if (call.isStream(a)) {
            listener.onStreamData(h, content);
        } else {
            if (body == null) {
                long length = HttpUtil.getContentLength(h, 0L);
                body = BodyBuffer.create(content.alloc(), length);
            }
            body.add(content);
        }
    }

    /** Marks the bytes received so far as forwarded, so that they no longer count as buffered. */
    void markForwarded() {
        endpointExchange.markForwarded();
    }

    /**
     * Records that tokens have arrived. The first one means that the engine has processed the
     * prompt.
     */
    void onTokens() {
        if (!begun) {
            begun = true;
            begunNanos = now();
            recordVersion(SendOutcome.ANSWERED, false);
            recordServiceTime(true);
        } else if (now() - begunNanos >= JUST_BEGUN_NANOS) {
            recordSurvived();
        }
        if (remainingPrefillTokens > 0) {
            load.recordPrefillDone(remainingPrefillTokens);
            remainingPrefillTokens = 0;
            double millis = (now() - sentNanos) / (double) CallContext.NANOS_PER_MILLI;
            load.updatePrefillRate((int) (prefillTokens + queuedPrefillTokens), millis);
        }
    }

    @Override
    public void onEnd() {
        EndpointAnswer a = decodedHead;
        HttpResponse h = head;
        if (closed || a == null || h == null) {
            return;
        }
        if (call.isStream(a) && !a.notExecuted() && !listener.isStreamComplete(h)) {
            onConnectionLost("stream ended inside an event or before its first one");
            return;
        }
        ByteBuf content = body == null ? Unpooled.EMPTY_BUFFER : body.take();
        body = null;
        close();
        if (!a.notExecuted()) {
            recordSurvived();
        }
        if (a.notExecuted()) {
            content.release();
            recordOutcome(SendOutcome.REJECTED, "status " + a.status());
            listener.onRejected(a);
        } else if (call.isStream(a)) {
            content.release();
            recordOutcome(SendOutcome.ANSWERED, "");
            listener.onStreamEnd(h);
        } else {
            boolean failed = a.isServerError();
            recordOutcome(
                    failed ? SendOutcome.FAILED : SendOutcome.ANSWERED, "status " + a.status());
            if (!failed) {
                recordServiceTime(true);
                load.updateAnswerTime((now() - sentNanos) / (double) CallContext.NANOS_PER_MILLI);
            }
            listener.onResponse(h, a, content);
        }
    }

    @Override
    public void onConnectionLost(String detail) {
        boolean answering = begun && now() - begunNanos >= JUST_BEGUN_NANOS;
        boolean crashPossible = written && !answering && load.entry().accepting();
        if (!closed && crashPossible) {
            endpoint.checkForCrash(call.features(), this::recordCrash);
        }
        handleFailure(detail, crashPossible);
    }

    /**
     * Records once that the endpoint has answered the request without crashing on it. A long stream
     * must not end first: after a restart of all nodes no other answer shows that the parts which
     * most prompts share are sound.
     */
    private void recordSurvived() {
        if (!survived) {
            survived = true;
            long answerNanos = begun ? begunNanos : headNanos;
            call.state().quarantine().recordAnswer(call.features(), answerNanos);
        }
    }

    private void recordServiceTime(boolean answered) {
        ServiceTimeProbe p = serviceTime;
        serviceTime = null;
        if (p != null) {
            p.end(answered, now());
        }
    }

    private void recordCrash(List<RequestFeatures> requests) {
        // An endpoint that has been told to leave, or has left the directory, ends on purpose.
        EndpointId id = load.entry().id();
        if (load.entry().accepting() && call.state().endpoints().find(id).isPresent()) {
            call.state().quarantine().recordCrash(id, requests);
        }
    }

    @Override
    public void onFailure(String detail) {
        handleFailure(detail, false);
    }

    private void handleFailure(String detail, boolean crashPossible) {
        if (closed) {
            return;
        }
        EndpointAnswer a = decodedHead;
        close();
        recordOutcome(SendOutcome.BROKEN, detail);
        if (a != null && a.notExecuted()) {
            // The complete head states that the request was not run; the missing body does not
            // change that.
            listener.onRejected(a);
        } else {
            listener.onBrokenResponse(crashPossible);
        }
    }

    private void recordOutcome(SendOutcome outcome, String detail) {
        long now = now();
        double serviceFailureRate = call.state().endpoints().failureRate(call.service().name());
        load.health().record(outcome, serviceFailureRate, now);
        recordVersion(outcome, begun);
        if (outcome != SendOutcome.ANSWERED) {
            call.state()
                    .log()
                    .line("send.failed")
                    .add("id", call.request().id())
                    .add("endpoint", load.entry().id())
                    .add("outcome", outcome)
                    .add("ms", written ? (now - sentNanos) / CallContext.NANOS_PER_MILLI : -1)
                    .add("failure_rate", Math.round(load.health().failureRate() * 100))
                    .add("ejected", load.health().isEjected(now))
                    .add("begun_ms", begun ? (now - begunNanos) / CallContext.NANOS_PER_MILLI : -1)
                    .add("open", endpoint.openConnections())
                    .add("revision", endpoint.news().revision())
                    .add("known_ms", endpoint.knownForMillis())
                    .add("parts", promptParts())
                    .add("detail", '"' + detail + '"')
                    .write();
        }
    }

    private void recordVersion(SendOutcome outcome, boolean wasBegun) {
        if (written) {
            String route = call.route().name();
            call.state().versions().record(load.entry(), route, outcome, wasBegun, sentNanos);
        }
    }

    /** Records that the endpoint has not answered before the deadline. */
    void recordUnanswered() {
        if (!begun && !closed) {
            recordVersion(SendOutcome.TIMED_OUT, false);
        }
    }

    /** Returns the ids of the first parts of the prompt, for the log. */
    private String promptParts() {
        return call.request().prompt().map(Prompt::parts).orElse(List.of()).stream()
                .limit(MAX_LOGGED_PARTS)
                .map(p -> Long.toHexString(p.id()))
                .collect(Collectors.joining(",", "[", "]"));
    }

    private static long now() {
        return System.nanoTime();
    }

    /** Releases the connection and the endpoint's load without notifying the listener. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (head == null) {
            recordServiceTime(false);
        }
        if (slowResponseTimer != null) {
            slowResponseTimer.cancel(false);
        }
        endpointExchange.close();
        if (body != null) {
            body.close();
            body = null;
        }
        load.recordEnded(remainingPrefillTokens, promptTokens);
    }
}
