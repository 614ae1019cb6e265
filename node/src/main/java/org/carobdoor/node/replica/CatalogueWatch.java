package org.carobdoor.node.replica;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.carobdoor.FailureKind;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Result;
import org.carobdoor.ValueList;
import org.carobdoor.VersionedValue;
import org.carobdoor.clients.catalogue.CatalogueStore;

/**
 * Watches the catalogue in the key-value service while this node is a watcher. Every node reads the
 * catalogue once at startup.
 *
 * <p>A watch can fail silently in two ways: its call does not return, or it returns without the
 * changes. The first is detected at the deadline of the call, the second by periodic full reads.
 */
final class CatalogueWatch implements AutoCloseable {
    static final String PREFIX = CatalogueStore.ENTRY_PREFIX;

    /** The health check reads this key; any key below the prefix works. */
    private static final String CHECK_KEY = PREFIX + "-";

    private static final Duration IDLE_POLL = Duration.ofMillis(200);

    /** Provides state to the watch and receives its results. */
    interface Callbacks {
        boolean isWatcher();

        boolean isLoaded();

        /** Merges values and returns the number of changed items. */
        int onValues(List<VersionedValue> values);

        void onPlatformReachable(boolean reachable);
    }

    private final LongAdder abandonedCalls = new LongAdder();
    private final LongAdder missedChanges = new LongAdder();
    private final KeyValueStore store;
    private final ReplicaServiceSettings settings;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final Callbacks callbacks;
    private final Thread thread;
    private volatile boolean closed;
    private long revision = -1;
    private Instant nextListAt;
    private Instant lastAnswerAt;
    private boolean reachable = true;

    CatalogueWatch(
            KeyValueStore store,
            ReplicaServiceSettings settings,
            InstantSource clock,
            RandomGenerator random,
            Callbacks callbacks) {
        this.store = store;
        this.settings = settings;
        this.clock = clock;
        this.random = random;
        this.callbacks = callbacks;
        lastAnswerAt = clock.instant();
        nextListAt = lastAnswerAt;
        thread = Thread.ofVirtual().name("catalogue-watch").unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** Returns the number of calls that were abandoned after their deadline. */
    long abandonedCalls() {
        return abandonedCalls.sum();
    }

    /** Returns the number of changes found by full reads that the watch had not reported. */
    long missedChanges() {
        return missedChanges.sum();
    }

    private void run() {
        while (!closed) {
            if (callbacks.isWatcher() || !callbacks.isLoaded()) {
                readChanges();
            } else {
                revision = -1;
                if (!reachable) {
                    updateReachability(
                            callWithTimeout(
                                    end -> store.get(CHECK_KEY, end), settings.retryInterval()));
                    pause(settings.retryInterval().multipliedBy(5));
                }
                pause(IDLE_POLL);
            }
        }
    }

    private void readChanges() {
        boolean list = revision < 0 || !clock.instant().isBefore(nextListAt);
        Result<ValueList> r =
                list
                        ? callWithTimeout(end -> store.list(PREFIX, end), settings.retryInterval())
                        : callWithTimeout(
                                end -> store.watch(PREFIX, revision, end), settings.watchWait());
        // A failed watch does not show whether the service is reachable; the list call that follows
        // does.
        if (list || r.isOk()) {
            updateReachability(r);
        }
        switch (r) {
            case Result.Ok<ValueList>(var values) -> {
                int changedCount = callbacks.onValues(values.values());
                if (list) {
                    missedChanges.add(revision < 0 ? 0 : changedCount);
                    nextListAt = clock.instant().plus(jitter(settings.relistInterval()));
                }
                revision = Math.max(revision, values.revision());
            }
            case Result.Err<ValueList> e -> {
                revision = -1;
                pause(jitter(settings.retryInterval()));
            }
        }
    }

    private void updateReachability(Result<?> r) {
        Instant now = clock.instant();
        if (r.isOk()) {
            lastAnswerAt = now;
        }
        boolean answers = now.isBefore(lastAnswerAt.plus(settings.unreachableAfter()));
        if (r.isOk() != reachable && (r.isOk() || !answers)) {
            reachable = r.isOk();
            callbacks.onPlatformReachable(reachable);
        }
    }

    /** Runs a call on its own thread so that a call that never returns can be abandoned. */
    private <T> Result<T> callWithTimeout(Function<Instant, Result<T>> call, Duration wait) {
        Instant end = clock.instant().plus(wait);
        FutureTask<Result<T>> task = new FutureTask<>(() -> call.apply(end));
        Thread t = Thread.startVirtualThread(task);
        try {
            return task.get(wait.plus(settings.answerGrace()).toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            abandonedCalls.increment();
            t.interrupt();
            return failure("no response by the deadline");
        } catch (ExecutionException e) {
            return failure(String.valueOf(e.getCause()));
        } catch (InterruptedException e) {
            t.interrupt();
            closed = true;
            return failure("closed");
        }
    }

    private static <T> Result<T> failure(String detail) {
        return Result.err(FailureKind.UNKNOWN, "catalogue.watch", "key-value service", detail);
    }

    private Duration jitter(Duration d) {
        return d.dividedBy(2).plusNanos(random.nextLong(d.toNanos()));
    }

    private void pause(Duration d) {
        if (!closed) {
            LockSupport.parkNanos(d.toNanos());
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
