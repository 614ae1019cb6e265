package org.carobdoor.node.claims;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.carobdoor.Bytes;
import org.carobdoor.internal.InvariantViolation;
import org.carobdoor.internal.claims.ClaimLog;
import org.carobdoor.internal.claims.ClaimLogReply;
import org.carobdoor.internal.claims.LogOperation;
import org.carobdoor.message.ClaimLookup;
import org.carobdoor.message.ClaimMessage;
import org.carobdoor.message.ClaimReply;
import org.carobdoor.message.ClaimReply.Outcome;
import org.carobdoor.message.ClaimRequest;
import org.carobdoor.message.ClaimUpdate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one claim log on a virtual thread: executes its operations and delivers its replies. */
final class LogRunner implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LogRunner.class);

    /** How often an idle thread checks whether its log can be unloaded. */
    private static final Duration MAX_IDLE_WAIT = Duration.ofSeconds(10);

    private final LogStore store;
    private final InstantSource clock;
    private final ClaimListener listener;
    private final Supplier<ClaimLog> factory;
    private final Duration idleRetention;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final Map<Long, CompletableFuture<ClaimReply>> pendingReplies = new HashMap<>();
    private final Thread thread;
    private ClaimLog log;
    private Instant lastUsedAt;
    private boolean keepLoaded;
    private boolean closed;

    LogRunner(
            int number,
            LogStore store,
            InstantSource clock,
            ClaimListener listener,
            Supplier<ClaimLog> factory,
            Duration idleRetention) {
        this.store = store;
        this.clock = clock;
        this.listener = listener;
        this.factory = factory;
        this.idleRetention = idleRetention;
        this.log = factory.get();
        this.lastUsedAt = clock.instant();
        this.thread = Thread.ofVirtual().name("claim-log-" + number).unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** Sets whether this node owns the log. An owned log is kept in memory. */
    void setOwned(boolean owned) {
        lock.lock();
        try {
            if (owned && !keepLoaded) {
                log.load();
                changed.signal();
            }
            keepLoaded = owned;
        } finally {
            lock.unlock();
        }
    }

    /** Submits {@code message} and waits for the reply until {@code deadline}. */
    ClaimReply ask(ClaimMessage message, String from, Instant deadline) {
        CompletableFuture<ClaimReply> reply = new CompletableFuture<>();
        lock.lock();
        try {
            if (closed) {
                return reply(Outcome.NOT_OWNER);
            }
            lastUsedAt = clock.instant();
            pendingReplies.put(submit(message, from, deadline), reply);
            changed.signal();
        } finally {
            lock.unlock();
        }
        return await(reply, deadline);
    }

    private long submit(ClaimMessage message, String from, Instant deadline) {
        return switch (message) {
            case ClaimRequest request -> log.submit(request, from);
            case ClaimUpdate update -> log.submit(update, from);
            case ClaimLookup lookup -> log.submit(lookup, deadline);
            default -> throw new IllegalArgumentException("not a claim request: " + message);
        };
    }

    private ClaimReply await(CompletableFuture<ClaimReply> reply, Instant deadline) {
        try {
            long nanos = Math.max(0, Duration.between(clock.instant(), deadline).toNanos());
            return reply.get(nanos, TimeUnit.NANOSECONDS);
        } catch (TimeoutException | ExecutionException e) {
            return reply(Outcome.UNAVAILABLE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return reply(Outcome.UNAVAILABLE);
        }
    }

    private void run() {
        while (true) {
            try {
                if (!step()) {
                    return;
                }
            } catch (InterruptedException e) {
                return;
            } catch (InvariantViolation | RuntimeException e) {
                LOG.error("Reloading the claim log after an internal error", e);
                listener.onInvariantViolation();
                reload();
            }
        }
    }

    private boolean step() throws InterruptedException {
        LogOperation operation;
        lock.lock();
        try {
            if (closed) {
                return false;
            }
            operation = log.next();
            completeReplies();
            switch (operation) {
                case LogOperation.Idle idle -> awaitChange(MAX_IDLE_WAIT);
                case LogOperation.Pause(var until) ->
                        awaitChange(Duration.between(clock.instant(), until));
                default -> {}
            }
        } finally {
            lock.unlock();
        }
        perform(operation);
        return true;
    }

    private void awaitChange(Duration maxWait) throws InterruptedException {
        Duration wait = maxWait.compareTo(MAX_IDLE_WAIT) < 0 ? maxWait : MAX_IDLE_WAIT;
        if (wait.isPositive() && changed.awaitNanos(wait.toNanos()) <= 0) {
            unloadIfIdle();
        }
    }

    /** Frees the memory of a log that this node no longer owns. */
    private void unloadIfIdle() {
        if (!keepLoaded
                && pendingReplies.isEmpty()
                && lastUsedAt.plus(idleRetention).isBefore(clock.instant())) {
            log = factory.get();
        }
    }

    private void perform(LogOperation operation) throws InterruptedException {
        switch (operation) {
            case LogOperation.Idle op -> {}
            case LogOperation.Pause op -> {}
            case LogOperation.ReadHead op -> deliver(store.readHead(op), log::onHeadRead);
            case LogOperation.ReadSegments op ->
                    deliver(store.readSegments(op), log::onSegmentsRead);
            case LogOperation.WriteHead op -> deliver(store.writeHead(op), log::onHeadWritten);
            case LogOperation.WriteSegment op ->
                    deliver(store.writeSegment(op), log::onSegmentWritten);
            case LogOperation.DeleteSegment op ->
                    deliver(store.deleteSegment(op), log::onSegmentDeleted);
        }
    }

    private <T> void deliver(T outcome, Consumer<T> receiver) {
        lock.lock();
        try {
            receiver.accept(outcome);
            completeReplies();
        } finally {
            lock.unlock();
        }
    }

    private void completeReplies() {
        for (ClaimLogReply settled : log.drainReplies()) {
            CompletableFuture<ClaimReply> reply = pendingReplies.remove(settled.ticket());
            if (reply != null) {
                reply.complete(settled.reply());
            }
        }
    }

    /**
     * Discards the log in memory. All durable state is in the key-value service and is read again.
     */
    private void reload() {
        lock.lock();
        try {
            completePending(Outcome.UNAVAILABLE);
            log = factory.get();
            // Limits reloads to one per second.
            var unused = changed.await(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            closed = true;
        } finally {
            lock.unlock();
        }
    }

    private void completePending(Outcome outcome) {
        pendingReplies.values().forEach(reply -> reply.complete(reply(outcome)));
        pendingReplies.clear();
    }

    @Override
    public void close() {
        lock.lock();
        try {
            closed = true;
            completePending(Outcome.NOT_OWNER);
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private static ClaimReply reply(Outcome outcome) {
        return new ClaimReply(outcome, Bytes.empty(), 0, "");
    }
}
