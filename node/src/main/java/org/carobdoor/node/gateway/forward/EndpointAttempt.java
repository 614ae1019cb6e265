package org.carobdoor.node.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.carobdoor.internal.deployment.Account;
import org.carobdoor.internal.deployment.RouteKind;
import org.carobdoor.internal.health.SendOutcome;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.internal.placement.Placement;
import org.carobdoor.internal.request.EndpointAnswer;
import org.carobdoor.internal.request.EndpointRequest;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.node.gateway.endpoint.AnswerListener;
import org.carobdoor.node.gateway.endpoint.Endpoint;
import org.carobdoor.node.gateway.endpoint.Send;
import org.jspecify.annotations.Nullable;

/**
 * One sending of a request to one endpoint. Keeps the endpoint's load and health in step, and tells
 * its listener how the sending ends. Belongs to the event loop.
 */
final class EndpointAttempt implements AnswerListener, AutoCloseable {
    private static final int MAX_BODY_PARTS = 64;
    private static final int MAX_URGENCY = 9;

    /** A request that may not be repeated only uses connections that were in use just now. */
    private static final long UNREPEATABLE_IDLE_NANOS = 700 * CallContext.NANOS_PER_MILLI;

    /** An answer to the caller takes this long at most; the endpoint must end before. */
    private static final long ANSWER_MARGIN_MILLIS = 5;

    /** With less time left than this no endpoint can answer. */
    static final long MIN_SEND_MILLIS = 10;

    /** A safe request is given to another endpoint after this multiple of the usual time. */
    private static final double SLOW_ANSWER_FACTOR = 3;

    /** Share of the objective before which a slow safe request is not given up. */
    private static final double SLOW_ANSWER_SHARE = 0.5;

    private final CallContext call;
    private final AttemptListener listener;
    private final EndpointLoad load;
    private final Send send;
    private final double expectedMillis;
    private final int unread;
    private final long tokens;
    private final long queuedTokens;
    private @Nullable ScheduledFuture<?> slowTimer;
    private @Nullable HttpResponse head;
    private @Nullable EndpointAnswer answer;
    private @Nullable CompositeByteBuf body;
    private Runnable onWritten = () -> {};
    private int unreadLeft;
    private boolean written;
    private boolean closed;
    private long sentNanos;

    EndpointAttempt(
            CallContext call,
            Endpoint endpoint,
            Placement.Chosen chosen,
            AttemptListener listener) {
        this.call = call;
        this.listener = listener;
        this.load = endpoint.load();
        this.expectedMillis = chosen.expectedMillis();
        this.unread = chosen.unreadTokens();
        this.unreadLeft = unread;
        this.tokens = call.request().prompt().map(Prompt::totalTokens).orElse(0L);
        this.queuedTokens = load.unreadEverywhere();
        boolean repeatable = call.route().isRepeatable();
        this.send = endpoint.openSend(repeatable ? Long.MAX_VALUE : UNREPEATABLE_IDLE_NANOS);
    }

    /** Returns whether a byte of the request may have left. */
    boolean isWritten() {
        return written;
    }

    /** Returns when the request was sent, in {@link System#nanoTime}. */
    long sentNanos() {
        return sentNanos;
    }

    /** Stops or resumes reading the answer. */
    void setReading(boolean reading) {
        send.setReading(reading);
    }

    /**
     * Takes a connection and sends the request.
     *
     * @param lastEventId the event after which a stream is to go on; null for a request's first run
     * @param writing runs just before the request is written
     */
    void open(@Nullable String lastEventId, Runnable writing) {
        onWritten = writing;
        load.sent(unread, tokens, now());
        send.open(
                new Send.Opened() {
                    @Override
                    public void ready() {
                        write(lastEventId);
                    }

                    @Override
                    public void failed(String detail) {
                        close();
                        record(SendOutcome.UNREACHABLE, detail);
                        listener.unreachable();
                    }
                });
    }

    private void write(@Nullable String lastEventId) {
        long now = now();
        long left = call.millisLeft(now) - ANSWER_MARGIN_MILLIS;
        if (left < MIN_SEND_MILLIS) {
            // The deadline's timer ends the request.
            return;
        }
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        call.exchange().head().method(),
                        call.exchange().head().uri(),
                        call.exchange().body().retainedDuplicate());
        EndpointPassing.fill(message, call.exchange().head(), endpointRequest(left, lastEventId));
        sentNanos = now;
        written = true;
        onWritten.run();
        call.request().prompt().ifPresent(p -> load.residentParts().read(p.parts()));
        send.write(message, call.request().id(), this);
    }

    private EndpointRequest endpointRequest(long left, @Nullable String lastEventId) {
        OptionalInt urgency = OptionalInt.empty();
        if (call.service().engine().isPresent()) {
            int rank =
                    call.account()
                            .map(Account::priority)
                            .filter(OptionalInt::isPresent)
                            .orElse(OptionalInt.of(call.route().priority()))
                            .getAsInt();
            urgency = OptionalInt.of(Math.clamp(rank, 0, MAX_URGENCY));
        }
        return new EndpointRequest(
                left,
                call.account().map(a -> a.id().value()).orElse(null),
                load.entry().id(),
                urgency,
                lastEventId != null ? Optional.of(lastEventId) : call.request().resumeAfter());
    }

    /** Gives the sending up when the endpoint hangs, so that another one can be tried in time. */
    void watchForSlowness() {
        double limit = call.route().objectiveMillis() * SLOW_ANSWER_SHARE;
        limit = Math.max(limit, expectedMillis * SLOW_ANSWER_FACTOR);
        slowTimer =
                call.state()
                        .loop()
                        .schedule(this::checkSlow, Math.round(limit), TimeUnit.MILLISECONDS);
    }

    private void checkSlow() {
        if (closed || head != null) {
            return;
        }
        // Prompts wait in queues, so only the silence of the whole endpoint tells that one hangs.
        boolean hangs = call.route().kind() == RouteKind.SAFE || load.isSuspect(now());
        if (hangs && listener.hasAlternative()) {
            close();
            record(SendOutcome.TIMED_OUT, "no answer yet");
            listener.slow();
        } else {
            watchForSlowness();
        }
    }

    @Override
    public void onHead(HttpResponse h, EndpointAnswer a) {
        head = h;
        answer = a;
        if (a.encoded() || (a.isSuccess() && !a.signed())) {
            onBroken("not the endpoint's answer");
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        EndpointAnswer a = answer;
        HttpResponse h = head;
        if (a == null || h == null || closed) {
            content.release();
        } else if (call.isStream(a)) {
            listener.streamed(h, content);
        } else {
            if (body == null) {
                body = content.alloc().compositeBuffer(MAX_BODY_PARTS);
            }
            body.addComponent(true, content);
        }
    }

    /** Notes that what has arrived of the answer has been passed on. */
    void passedOn() {
        send.passedOn();
    }

    /** Notes that the first token has arrived: the prompt has been read. */
    void promptRead() {
        if (unreadLeft > 0) {
            load.recordPrefillDone(unreadLeft);
            unreadLeft = 0;
            double millis = (now() - sentNanos) / (double) CallContext.NANOS_PER_MILLI;
            load.updatePrefillRate((int) (unread + queuedTokens), millis);
        }
    }

    @Override
    public void onEnd() {
        EndpointAnswer a = answer;
        HttpResponse h = head;
        if (closed || a == null || h == null) {
            return;
        }
        ByteBuf content = body == null ? Unpooled.EMPTY_BUFFER : body;
        body = null;
        close();
        if (a.notExecuted()) {
            content.release();
            record(SendOutcome.REJECTED, "status " + a.status());
            listener.rejected(a);
        } else if (call.isStream(a)) {
            content.release();
            record(SendOutcome.ANSWERED, "");
            listener.streamEnded(h);
        } else {
            boolean failed = a.isServerError();
            record(failed ? SendOutcome.FAILED : SendOutcome.ANSWERED, "status " + a.status());
            if (!failed) {
                load.updateAnswerTime((now() - sentNanos) / (double) CallContext.NANOS_PER_MILLI);
            }
            listener.answered(h, a, content);
        }
    }

    @Override
    public void onBroken(String detail) {
        if (closed) {
            return;
        }
        EndpointAnswer a = answer;
        close();
        record(SendOutcome.BROKEN, detail);
        if (a != null && a.notExecuted()) {
            // The head was whole, and what follows it changes nothing.
            listener.rejected(a);
        } else {
            listener.broken();
        }
    }

    private void record(SendOutcome outcome, String detail) {
        long now = now();
        double mean = call.state().endpoints().failureRate(call.service().name());
        load.health().record(outcome, mean, now);
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
                    .add("detail", '"' + detail + '"')
                    .write();
        }
    }

    private static long now() {
        return System.nanoTime();
    }

    /** Gives up the connection and the endpoint's load; the listener is not told. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (slowTimer != null) {
            slowTimer.cancel(false);
        }
        send.close();
        if (body != null) {
            body.release();
            body = null;
        }
        load.ended(unreadLeft, tokens);
    }
}
