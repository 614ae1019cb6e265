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
 * Accepts requests, keeps them alive through the loss of nodes, and reads their answers.
 *
 * <p>All blocking methods are meant for virtual threads.
 *
 * <pre>{@code
 * try (var work = WorkService.start(ports)) {
 *     String id = work.submit(spec).orElseThrow();
 *     AnswerPart part = work.read(id, 0, deadline).orElseThrow();
 * }
 * }</pre>
 */
public final class WorkService implements AutoCloseable {
    private static final Duration READ_WITHIN = Duration.ofSeconds(1);
    private static final Duration DRAIN_POLL = Duration.ofMillis(50);

    /** Several times what an owner needs to copy a request to another holder. */
    private static final Duration HELD_WITHIN = Duration.ofSeconds(10);

    /** Longer than the state machine takes to refuse, so that its verdict is the one given. */
    private static final Duration ACCEPT_WITHIN =
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
     * Accepts a request whose answer is read later.
     *
     * @return the id; a failure of kind {@code NOT_DONE} means that the request was not run and
     *     will not be, one of kind {@code UNKNOWN} that it may run
     */
    public Result<String> submit(WorkSpec spec) {
        return accept(spec, true);
    }

    /**
     * Runs a request for a caller that waits, and gives it the answer part by part. Returns when
     * the answer has ended, the request has failed, or the caller has gone.
     *
     * @return the last part; failures as for {@link #submit}
     */
    public Result<AnswerPart> stream(WorkSpec spec, StreamSink sink) {
        return accept(spec, false).flatMap(id -> follow(id, spec, sink));
    }

    private Result<String> accept(WorkSpec spec, boolean submitted) {
        if (draining) {
            return refused(FailureKind.NOT_DONE, "the node is leaving");
        }
        String id = RequestId.create(ports.members().self().id(), ports.random()).toString();
        var outcome = driver.expect(id);
        driver.perform(
                table.accept(
                        new WorkRequest(id, SpecCodec.encode(spec), submitted, spec.deadline())));
        try {
            return switch (outcome.get(ACCEPT_WITHIN.toMillis(), TimeUnit.MILLISECONDS)) {
                case WorkOperation.Refused(var unused, var state) ->
                        state == RunState.NOT_RUN
                                ? refused(FailureKind.NOT_DONE, "no peer can keep a copy")
                                : refused(FailureKind.UNKNOWN, "no peer confirmed its copy");
                default -> Result.ok(id);
            };
        } catch (TimeoutException | ExecutionException e) {
            return refused(FailureKind.UNKNOWN, "the copy was not settled in time");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return refused(FailureKind.UNKNOWN, "interrupted");
        }
    }

    private static Result<String> refused(FailureKind kind, String detail) {
        return Result.err(kind, "work.accept", "local", detail);
    }

    private Result<AnswerPart> follow(String id, WorkSpec spec, StreamSink sink) {
        sink.accepted(id);
        int offset = 0;
        while (!Thread.currentThread().isInterrupted()) {
            Instant now = ports.clock().instant();
            if (!now.isBefore(spec.deadline())) {
                close(id);
                return Result.err(
                        FailureKind.UNKNOWN, "work.stream", "local", "the deadline has passed");
            }
            Instant until = now.plus(READ_WITHIN);
            Result<AnswerPart> read =
                    reader.read(
                            id, offset, until.isBefore(spec.deadline()) ? until : spec.deadline());
            if (!(read instanceof Result.Ok<AnswerPart>(var part))) {
                // A takeover can take some seconds, in which no node answers for the request.
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
     * Returns the answer from {@code offset} on, wherever its owner is; waits until {@code
     * deadline} for there to be more.
     *
     * @return the part, without tokens if there were none; a failure of kind {@code REJECTED} if no
     *     node that answered knows the request
     */
    public Result<AnswerPart> read(String requestId, int offset, Instant deadline) {
        return reader.read(requestId, offset, deadline);
    }

    /** Returns what is known about the execution of a request that has failed at this node. */
    public RunState failedAs(String requestId) {
        return driver.attempts().failedAs(requestId);
    }

    /** Drops a request that this node owns and whose answer is of no more use. */
    public void close(String requestId) {
        driver.perform(table.close(requestId));
        driver.forget(requestId);
    }

    /**
     * Refuses new requests and hands over submitted ones.
     *
     * @param streams whether open streams are handed over too, because the VM is reclaimed before
     *     they can finish; their callers then read on at another node
     */
    public void drain(boolean streams) {
        draining = true;
        driver.attempts().stopClaims();
        driver.perform(table.handOver(streams));
    }

    /**
     * Waits until nothing depends on this node any more; returns whether that came about.
     *
     * <p>Copies that remain after {@link #HELD_WITHIN} are of requests that have ended, whose owner
     * could not tell; an owner that still runs has found another copy holder by then.
     */
    public boolean awaitDrained(Instant deadline) {
        Instant heldUntil = deadline;
        while (!table.counts().isDrained()) {
            Instant now = ports.clock().instant();
            if (!now.isBefore(deadline) || Thread.currentThread().isInterrupted()) {
                return false;
            }
            if (!table.counts().ownsNothing() || heldUntil.equals(deadline)) {
                heldUntil = now.plus(HELD_WITHIN);
            } else if (!now.isBefore(heldUntil)) {
                return true;
            }
            Pause.until(now.plus(DRAIN_POLL), ports.clock());
        }
        return true;
    }

    /** Returns what this node holds. */
    public WorkCounts counts() {
        return table.counts();
    }

    @Override
    public void close() {
        driver.close();
    }
}
