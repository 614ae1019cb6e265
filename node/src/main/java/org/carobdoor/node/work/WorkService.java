package org.carobdoor.node.work;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.RunState;
import org.carobdoor.internal.work.RequestId;
import org.carobdoor.internal.work.WorkCounts;
import org.carobdoor.internal.work.WorkOperation;
import org.carobdoor.internal.work.WorkRequest;
import org.carobdoor.internal.work.WorkTable;
import org.carobdoor.internal.work.WorkTimes;

/**
 * Accepts requests, continues them after node failures, and serves their answers.
 *
 * <p>Blocking methods are intended to be called on virtual threads.
 *
 * <pre>{@code
 * try (var work = WorkService.start(ports)) {
 *     String id = work.submit(spec).orElseThrow();
 *     AnswerPart part = work.read(id, 0, deadline).orElseThrow();
 * }
 * }</pre>
 */
public final class WorkService implements AutoCloseable {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(50);

    /** Several times as long as an owner needs to copy a request to another holder. */
    private static final Duration HELD_COPY_TIMEOUT = Duration.ofSeconds(10);

    /**
     * Longer than the acceptance timeout of the state machine, so that its result is the one
     * reported.
     */
    private static final Duration ACCEPT_TIMEOUT =
            WorkTimes.defaults().acceptWithin().plusSeconds(3);

    private final WorkPorts ports;
    private final WorkTable table;
    private final WorkDriver driver;
    private final WorkReader reader;
    private volatile boolean draining;

    private WorkService(WorkPorts ports) {
        this.ports = ports;
        this.table = WorkTable.create(ports.members(), WorkTimes.defaults(), ports.clock());
        var waiters = new Waiters(ports.clock());
        this.driver = new WorkDriver(ports, table, waiters);
        this.reader = new WorkReader(ports, table, waiters);
    }

    /** Starts the service and registers its message handlers. */
    public static WorkService start(WorkPorts ports) {
        var service = new WorkService(ports);
        service.driver.start(service.reader);
        return service;
    }

    /**
     * Accepts a request whose answer is read later with {@link #read}.
     *
     * @return the id; a failure of kind {@code NOT_DONE} means that the request was not run and
     *     will not be, one of kind {@code UNKNOWN} that it may run
     */
    public Result<String> submit(WorkSpec spec) {
        return accept(spec, true);
    }

    /**
     * Runs a request for a connected caller and streams the answer to {@code sink}. Returns when
     * the answer has ended, the request has failed, or the caller has disconnected.
     *
     * @return the last part; failures as for {@link #submit}
     */
    public Result<AnswerPart> stream(WorkSpec spec, StreamSink sink) {
        return accept(spec, false).flatMap(id -> streamAnswer(id, spec, sink));
    }

    private Result<String> accept(WorkSpec spec, boolean submitted) {
        if (draining) {
            return refusal(FailureKind.NOT_DONE, "the node is leaving");
        }
        String id = RequestId.create(ports.members().self().id(), ports.random()).toString();
        var outcome = driver.registerAcceptance(id);
        driver.perform(
                table.accept(
                        new WorkRequest(
                                id, WorkSpecCodec.encode(spec), submitted, spec.deadline())));
        try {
            return switch (outcome.get(ACCEPT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                case WorkOperation.Refused(var unused, var state) ->
                        state == RunState.NOT_RUN
                                ? refusal(
                                        FailureKind.NOT_DONE, "no peer is available to hold a copy")
                                : refusal(
                                        FailureKind.UNKNOWN,
                                        "no peer confirmed that it holds a copy");
                default -> Result.ok(id);
            };
        } catch (TimeoutException | ExecutionException e) {
            return refusal(FailureKind.UNKNOWN, "the copy was not confirmed before the timeout");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return refusal(FailureKind.UNKNOWN, "interrupted");
        }
    }

    private static Result<String> refusal(FailureKind kind, String detail) {
        return Result.err(kind, "work.accept", "local", detail);
    }

    private Result<AnswerPart> streamAnswer(String id, WorkSpec spec, StreamSink sink) {
        sink.accepted(id);
        int offset = 0;
        while (!Thread.currentThread().isInterrupted()) {
            Instant now = ports.clock().instant();
            if (!now.isBefore(spec.deadline())) {
                close(id);
                return Result.err(
                        FailureKind.UNKNOWN, "work.stream", "local", "the deadline has passed");
            }
            Instant until = now.plus(READ_TIMEOUT);
            Result<AnswerPart> read =
                    reader.read(
                            id, offset, until.isBefore(spec.deadline()) ? until : spec.deadline());
            if (!(read instanceof Result.Ok<AnswerPart>(var part))) {
                // A takeover can take several seconds, during which no node responds for the
                // request.
                continue;
            }
            boolean ended = part.state() != AnswerPart.State.RUNNING;
            boolean next = part.offset() == offset && (part.tokens() > 0 || ended);
            if (next && !sink.part(part)) {
                close(id);
                return Result.ok(part);
            }
            offset = next ? part.nextOffset() : offset;
            if (next && ended) {
                close(id);
                return Result.ok(part);
            }
        }
        return Result.err(FailureKind.UNKNOWN, "work.stream", "local", "interrupted");
    }

    /**
     * Returns the answer starting at {@code offset}, from whichever node owns the request. Waits
     * until {@code deadline} for new tokens.
     *
     * @return the part, without tokens if there were none; a failure of kind {@code REJECTED} if no
     *     responding node knows the request
     */
    public Result<AnswerPart> read(String requestId, int offset, Instant deadline) {
        return reader.read(requestId, offset, deadline);
    }

    /** Returns whether a request that failed on this node was executed, as far as is known. */
    public RunState failureRunState(String requestId) {
        return driver.attempts().failureRunState(requestId);
    }

    /** Discards a request that this node owns and whose answer is no longer needed. */
    public void close(String requestId) {
        driver.perform(table.close(requestId));
        driver.forget(requestId);
    }

    /**
     * Starts draining: refuses new requests and hands submitted requests over to other nodes.
     *
     * @param streams whether to hand over open streams as well, because the VM is reclaimed before
     *     they can finish; their callers then continue to read from another node
     */
    public void drain(boolean streams) {
        draining = true;
        driver.attempts().stopClaims();
        driver.perform(table.handOver(streams));
    }

    /**
     * Waits until this node is drained. Returns false if that did not happen before the deadline.
     *
     * <p>Copies that remain after {@link #HELD_COPY_TIMEOUT} belong to ended requests whose owner
     * could not notify this node; an owner that is still running has found another copy holder by
     * then.
     */
    public boolean awaitDrained(Instant deadline) {
        Instant heldUntil = deadline;
        while (!table.counts().isDrained()) {
            Instant now = ports.clock().instant();
            if (!now.isBefore(deadline) || Thread.currentThread().isInterrupted()) {
                return false;
            }
            if (!table.counts().ownsNothing() || heldUntil.equals(deadline)) {
                heldUntil = now.plus(HELD_COPY_TIMEOUT);
            } else if (!now.isBefore(heldUntil)) {
                return true;
            }
            Pause.until(now.plus(DRAIN_POLL_INTERVAL), ports.clock());
        }
        return true;
    }

    /** Returns the number of requests and copies on this node. */
    public WorkCounts counts() {
        return table.counts();
    }

    @Override
    public void close() {
        driver.close();
    }
}
