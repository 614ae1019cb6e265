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

/** Runs one claim log on a virtual thread: performs its operations and hands out its replies. */
final class LogRunner implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(LogRunner.class);

    /** A thread that finds nothing to do looks for a lapsed log this often. */
    private static final Duration IDLE_WAIT = Duration.ofSeconds(10);

    private final LogStore store;
    private final InstantSource clock;
    private final ClaimListener listener;
    private final Supplier<ClaimLog> factory;
    private final Duration idleKept;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final Map<Long, CompletableFuture<ClaimReply>> waiting = new HashMap<>();
    private final Thread thread;
    private ClaimLog log;
    private Instant lastUse;
    private boolean loadWanted;
    private boolean closed;

    LogRunner(
            int number,
            LogStore store,
            InstantSource clock,
            ClaimListener listener,
            Supplier<ClaimLog> factory,
            Duration idleKept) {
        this.store = store;
        this.clock = clock;
        this.listener = listener;
        this.factory = factory;
        this.idleKept = idleKept;
        this.log = factory.get();
        this.lastUse = clock.instant();
        this.thread = Thread.ofVirtual().name("claim-log-" + number).unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** Says whether this node owns the log: it then keeps the log in memory. */
    void setOwned(boolean owned) {
        lock.lock();
        try {
            if (owned && !loadWanted) {
                log.load();
                changed.signal();
            }
            loadWanted = owned;
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
            lastUse = clock.instant();
            waiting.put(submit(message, from, deadline), reply);
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
            default -> throw new IllegalArgumentException("no request: " + message);
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
                LOG.error("claim log is read again after a fault of the program", e);
                listener.onInvariantViolation();
                restart();
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
            settle();
            switch (operation) {
                case LogOperation.Idle idle -> awaitChange(IDLE_WAIT);
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

    private void awaitChange(Duration most) throws InterruptedException {
        Duration wait = most.compareTo(IDLE_WAIT) < 0 ? most : IDLE_WAIT;
        if (wait.isPositive() && changed.awaitNanos(wait.toNanos()) <= 0) {
            forgetIfUnused();
        }
    }

    /** Frees the index of a log that this node owns no longer. */
    private void forgetIfUnused() {
        if (!loadWanted && waiting.isEmpty() && lastUse.plus(idleKept).isBefore(clock.instant())) {
            log = factory.get();
        }
    }

    private void perform(LogOperation operation) throws InterruptedException {
        switch (operation) {
            case LogOperation.Idle op -> {}
            case LogOperation.Pause op -> {}
            case LogOperation.ReadHead op -> pass(store.readHead(op), log::onHeadRead);
            case LogOperation.ReadSegments op -> pass(store.readSegments(op), log::onSegmentsRead);
            case LogOperation.WriteHead op -> pass(store.writeHead(op), log::onHeadWritten);
            case LogOperation.WriteSegment op ->
                    pass(store.writeSegment(op), log::onSegmentWritten);
            case LogOperation.DeleteSegment op ->
                    pass(store.deleteSegment(op), log::onSegmentDeleted);
        }
    }

    private <T> void pass(T outcome, Consumer<T> receiver) {
        lock.lock();
        try {
            receiver.accept(outcome);
            settle();
        } finally {
            lock.unlock();
        }
    }

    private void settle() {
        for (ClaimLogReply settled : log.drainReplies()) {
            CompletableFuture<ClaimReply> reply = waiting.remove(settled.ticket());
            if (reply != null) {
                reply.complete(settled.reply());
            }
        }
    }

    /** Everything that matters is in the key-value service, so the log can be read again. */
    private void restart() {
        lock.lock();
        try {
            refuseAll(Outcome.UNAVAILABLE);
            log = factory.get();
            // One attempt a second at most, whatever is wrong.
            var unused = changed.await(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            closed = true;
        } finally {
            lock.unlock();
        }
    }

    private void refuseAll(Outcome outcome) {
        waiting.values().forEach(reply -> reply.complete(reply(outcome)));
        waiting.clear();
    }

    @Override
    public void close() {
        lock.lock();
        try {
            closed = true;
            refuseAll(Outcome.NOT_OWNER);
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private static ClaimReply reply(Outcome outcome) {
        return new ClaimReply(outcome, Bytes.empty(), 0, "");
    }
}
