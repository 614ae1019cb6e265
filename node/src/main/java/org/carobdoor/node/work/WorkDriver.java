package org.carobdoor.node.work;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import org.carobdoor.FailureKind;
import org.carobdoor.NodeId;
import org.carobdoor.Result;
import org.carobdoor.internal.InvariantViolation;
import org.carobdoor.internal.work.CopyOutcome;
import org.carobdoor.internal.work.OwnershipDecision;
import org.carobdoor.internal.work.WorkOperation;
import org.carobdoor.internal.work.WorkTable;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.WorkAck;
import org.carobdoor.message.WorkChunk;
import org.carobdoor.message.WorkCopy;
import org.carobdoor.message.WorkHandover;
import org.carobdoor.message.WorkProgress;
import org.carobdoor.message.WorkRead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Executes the operations of a {@link WorkTable} and reports their outcomes to it. */
final class WorkDriver implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
    private static final Duration DECIDE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PROGRESS_INTERVAL = Duration.ofMillis(20);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

    private static final Logger LOG = LoggerFactory.getLogger(WorkDriver.class);

    private final WorkPorts ports;
    private final WorkTable table;
    private final Waiters waiters;
    private final AttemptRunner attempts;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<String, CompletableFuture<WorkOperation>> pendingAcceptances =
            new ConcurrentHashMap<>();
    private final Set<String> receivedHere = ConcurrentHashMap.newKeySet();
    private final Set<NodeId> holdersAwaitingAck = ConcurrentHashMap.newKeySet();
    private final AtomicLong progressSentAt =
            new AtomicLong(System.nanoTime() - PROGRESS_INTERVAL.toNanos());
    private volatile boolean closed;

    WorkDriver(WorkPorts ports, WorkTable table, Waiters waiters) {
        this.ports = ports;
        this.table = table;
        this.waiters = waiters;
        this.attempts = new AttemptRunner(ports, table, this::perform, this::sendProgressIfDue);
    }

    void start(WorkReader reader) {
        var network = ports.network();
        network.handle(WorkCopy.class, table::onCopy);
        network.handle(WorkProgress.class, table::onProgress);
        network.handle(WorkRead.class, reader::onRead);
        network.handle(
                WorkAck.class,
                (from, notice) -> {
                    List<WorkOperation> operations = new ArrayList<>();
                    WorkAck reply = table.onRelinquish(from, notice, operations);
                    perform(operations);
                    return reply;
                });
        network.handle(
                WorkHandover.class,
                (from, handover) -> {
                    perform(table.onHandover(from, handover));
                    return null;
                });
        ports.members().onChange(member -> perform(table.onMember(member)));
        execute(() -> runPeriodically(PROGRESS_INTERVAL, this::sendProgressIfDue));
        execute(() -> runPeriodically(TICK_INTERVAL, () -> perform(table.tick())));
    }

    private void runPeriodically(Duration interval, Runnable action) {
        while (!closed) {
            Instant next = ports.clock().instant().plus(interval);
            try {
                action.run();
            } catch (RuntimeException | InvariantViolation e) {
                // If the loop ended, all other requests of the node would stall.
                LOG.error("work.loop: periodic task failed; will retry", e);
            }
            Pause.until(next, ports.clock());
        }
    }

    private void execute(Runnable task) {
        try {
            threads.execute(task);
        } catch (RejectedExecutionException e) {
            if (!closed) {
                throw e;
            }
        }
    }

    AttemptRunner attempts() {
        return attempts;
    }

    /**
     * Registers a request about to be accepted; the future completes with {@code Accepted} or
     * {@code Refused}.
     */
    CompletableFuture<WorkOperation> registerAcceptance(String id) {
        var future = new CompletableFuture<WorkOperation>();
        pendingAcceptances.put(id, future);
        receivedHere.add(id);
        return future;
    }

    void perform(List<WorkOperation> operations) {
        Map<NodeId, List<String>> handovers = new HashMap<>();
        Map<NodeId, Map<String, Integer>> forgets = new HashMap<>();
        for (WorkOperation operation : operations) {
            if (operation instanceof WorkOperation.SendHandover(var id, var to)) {
                // No other node can send a call that this node has claimed, so it completes on this
                // node.
                if (!attempts.isClaimInFlight(id)) {
                    handovers.computeIfAbsent(to, k -> new ArrayList<>()).add(id);
                }
            } else if (operation
                    instanceof WorkOperation.SendDiscard(var id, var peer, var epoch)) {
                forgets.computeIfAbsent(peer, k -> new HashMap<>()).put(id, epoch);
            } else {
                perform(operation);
            }
        }
        handovers.forEach((to, ids) -> send(to, new WorkHandover(ids)));
        forgets.forEach((to, epochs) -> send(to, new WorkAck(Map.of(), epochs)));
    }

    private void send(NodeId to, PeerMessage message) {
        ports.listener().onMessage(0);
        ports.network().send(to, message);
    }

    private void perform(WorkOperation operation) {
        switch (operation) {
            case WorkOperation.SendCopy copy -> execute(() -> sendCopy(copy));
            case WorkOperation.AskRelinquish ask -> execute(() -> requestRelinquish(ask));
            case WorkOperation.Decide decide -> execute(() -> storeDecision(decide));
            case WorkOperation.StartAttempt start ->
                    execute(() -> attempts.start(start, !receivedHere.contains(start.requestId())));
            case WorkOperation.StopAttempt(var id, var attempt) -> attempts.stop(id);
            case WorkOperation.Accepted accepted -> {
                ports.listener().onAccepted(accepted.copy().isPresent(), accepted.sameZone());
                completeAcceptance(operation);
            }
            case WorkOperation.Refused(var id, var state) -> {
                ports.listener().onRefused(state);
                forget(id);
                completeAcceptance(operation);
            }
            case WorkOperation.Released(var id) -> waiters.signal(id);
            case WorkOperation.Retired(var id, var successor) -> {
                ports.listener().onSuperseded();
                forget(id);
            }
            case WorkOperation.SendHandover sent ->
                    throw new IllegalStateException("operation must be sent in a batch");
            case WorkOperation.SendDiscard sent ->
                    throw new IllegalStateException("operation must be sent in a batch");
        }
    }

    private void completeAcceptance(WorkOperation outcome) {
        CompletableFuture<WorkOperation> future = pendingAcceptances.remove(outcome.requestId());
        if (future != null) {
            future.complete(outcome);
        }
    }

    /** Discards the state that this driver holds for a request. */
    void forget(String id) {
        attempts.stop(id);
        receivedHere.remove(id);
        waiters.signal(id);
    }

    private Result<PeerMessage> call(NodeId peer, PeerMessage message, int chunks) {
        ports.listener().onMessage(chunks);
        return ports.network().call(peer, message, ports.clock().instant().plus(CALL_TIMEOUT));
    }

    private void sendCopy(WorkOperation.SendCopy sent) {
        CopyOutcome outcome =
                switch (call(sent.to(), sent.copy(), 0)) {
                    case Result.Ok<PeerMessage>(WorkAck ack) -> CopyOutcome.of(sent.copy(), ack);
                    case Result.Ok<PeerMessage> other -> new CopyOutcome.NotConfirmed();
                    case Result.Err<PeerMessage>(var failure) ->
                            failure.kind() == FailureKind.NOT_DONE
                                    ? new CopyOutcome.NotSent()
                                    : new CopyOutcome.NotConfirmed();
                };
        perform(table.onCopyOutcome(sent, outcome));
    }

    private void requestRelinquish(WorkOperation.AskRelinquish ask) {
        var notice = new WorkAck(Map.of(), Map.of(ask.requestId(), ask.epoch()));
        boolean agreed =
                call(ask.peer(), notice, 0) instanceof Result.Ok<PeerMessage>(WorkAck ack)
                        && ack.epochs().containsKey(ask.requestId());
        perform(table.onRelinquishOutcome(ask, agreed));
    }

    private void storeDecision(WorkOperation.Decide ask) {
        Instant deadline = ports.clock().instant().plus(DECIDE_TIMEOUT);
        Result<OwnershipDecision> stored =
                ports.takeovers()
                        .decide(
                                ask.requestId(),
                                ask.term(),
                                ask.winner(),
                                ask.holder(),
                                ask.until(),
                                deadline);
        Optional<OwnershipDecision> decision =
                stored instanceof Result.Ok<OwnershipDecision>(var value)
                        ? Optional.of(value)
                        : Optional.empty();
        perform(table.onDecision(ask, decision));
    }

    /**
     * Sends progress immediately if none was sent during the last interval, so that the first token
     * is not delayed by up to one interval.
     */
    private void sendProgressIfDue() {
        long now = System.nanoTime();
        long last = progressSentAt.get();
        if (now - last >= PROGRESS_INTERVAL.toNanos() && progressSentAt.compareAndSet(last, now)) {
            sendProgress();
        }
    }

    private void sendProgress() {
        table.collectProgress(holder -> !holdersAwaitingAck.contains(holder))
                .forEach(
                        (holder, chunks) -> {
                            holdersAwaitingAck.add(holder);
                            execute(() -> sendProgress(holder, chunks));
                        });
    }

    private void sendProgress(NodeId holder, List<WorkChunk> chunks) {
        Result<PeerMessage> reply;
        try {
            reply = call(holder, new WorkProgress(chunks), chunks.size());
        } finally {
            holdersAwaitingAck.remove(holder);
        }
        if (reply instanceof Result.Ok<PeerMessage>(WorkAck ack)) {
            perform(table.onProgressAck(holder, chunks, ack));
        }
    }

    @Override
    public void close() {
        closed = true;
        attempts.close();
        threads.shutdownNow();
    }
}
