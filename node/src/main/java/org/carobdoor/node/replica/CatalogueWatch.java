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
 * Follows the catalogue in the key-value service while this node is a watcher, and reads it once at
 * the start in any case.
 *
 * <p>A watch can go silent in two ways: its call does not return, or it returns without the
 * changes. The first is noticed at the deadline of the call, the second by a full read now and
 * then.
 */
final class CatalogueWatch implements AutoCloseable {
    static final String PREFIX = CatalogueStore.ENTRY_PREFIX;

    /** Any key below the prefix serves to check whether the service answers. */
    private static final String CHECK_KEY = PREFIX + "-";

    private static final Duration IDLE_POLL = Duration.ofMillis(200);

    /** What the watch needs to know and whom it tells. */
    interface Owner {
        boolean isWatcher();

        boolean isLoaded();

        /** Merges values and returns how many were news. */
        int found(List<VersionedValue> values);

        void platformReachable(boolean reachable);
    }

    private final LongAdder silentCalls = new LongAdder();
    private final LongAdder missedChanges = new LongAdder();
    private final KeyValueStore store;
    private final ReplicaServiceSettings settings;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final Owner owner;
    private final Thread thread;
    private volatile boolean closed;
    private long revision = -1;
    private Instant relistAt;
    private Instant lastAnswer;
    private boolean reachable = true;

    CatalogueWatch(
            KeyValueStore store,
            ReplicaServiceSettings settings,
            InstantSource clock,
            RandomGenerator random,
            Owner owner) {
        this.store = store;
        this.settings = settings;
        this.clock = clock;
        this.random = random;
        this.owner = owner;
        lastAnswer = clock.instant();
        relistAt = lastAnswer;
        thread = Thread.ofVirtual().name("catalogue-watch").unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** Returns the calls that did not answer by their deadline and were abandoned. */
    long silentCalls() {
        return silentCalls.sum();
    }

    /** Returns the changes that a full read found and the watch had not reported. */
    long missedChanges() {
        return missedChanges.sum();
    }

    private void run() {
        while (!closed) {
            if (owner.isWatcher() || !owner.isLoaded()) {
                follow();
            } else {
                revision = -1;
                if (!reachable) {
                    report(bounded(end -> store.get(CHECK_KEY, end), settings.retryInterval()));
                    pause(settings.retryInterval().multipliedBy(5));
                }
                pause(IDLE_POLL);
            }
        }
    }

    private void follow() {
        boolean list = revision < 0 || !clock.instant().isBefore(relistAt);
        Result<ValueList> r =
                list
                        ? bounded(end -> store.list(PREFIX, end), settings.retryInterval())
                        : bounded(end -> store.watch(PREFIX, revision, end), settings.watchWait());
        // A silent watch says nothing about the service: the read that follows it does.
        if (list || r.isOk()) {
            report(r);
        }
        switch (r) {
            case Result.Ok<ValueList>(var values) -> {
                int news = owner.found(values.values());
                if (list) {
                    missedChanges.add(revision < 0 ? 0 : news);
                    relistAt = clock.instant().plus(jitter(settings.relistInterval()));
                }
                revision = Math.max(revision, values.revision());
            }
            case Result.Err<ValueList> e -> {
                revision = -1;
                pause(jitter(settings.retryInterval()));
            }
        }
    }

    private void report(Result<?> r) {
        Instant now = clock.instant();
        if (r.isOk()) {
            lastAnswer = now;
        }
        boolean answers = now.isBefore(lastAnswer.plus(settings.unreachableAfter()));
        if (r.isOk() != reachable && (r.isOk() || !answers)) {
            reachable = r.isOk();
            owner.platformReachable(reachable);
        }
    }

    /** Runs one call on a thread of its own, so that one that never returns can be left behind. */
    private <T> Result<T> bounded(Function<Instant, Result<T>> call, Duration wait) {
        Instant end = clock.instant().plus(wait);
        FutureTask<Result<T>> task = new FutureTask<>(() -> call.apply(end));
        Thread t = Thread.startVirtualThread(task);
        try {
            return task.get(wait.plus(settings.answerGrace()).toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            silentCalls.increment();
            t.interrupt();
            return failure("no answer by the deadline");
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
