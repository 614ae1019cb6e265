package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.StoreChange;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.internal.store.WatchSchedule;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * Watches the keys with a prefix: reads them once, then waits for changes after the last revision.
 * Reads them again if the store has discarded that history, and retries with exponential backoff
 * while the store is unavailable. Must be used on the event loop.
 */
final class StoreWatch {
    /** Receives the contents of the store and their changes. */
    interface Listener {
        /** Called with all items under the prefix, current at {@code revision}. */
        void loaded(List<StoreItem> items, long revision);

        /** Called with the changes up to {@code revision}. */
        void changed(List<StoreChange> changes, long revision);

        /**
         * Called when the changes of the store are known up to a time.
         *
         * @param provenNanos when the store's answer was given, as far as the caller can tell
         */
        default void callSucceeded(long provenNanos) {}

        /** Called after a call of this watch had no answer or was rejected. */
        default void callFailed(StoreAnswer answer) {}
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final String prefix;
    private WatchSchedule schedule;
    private final LongSupplier batchDelayMillis;
    private final Listener listener;
    private final DecisionLog log;
    private Runnable onRegained = () -> {};
    private boolean storeUnavailable;
    private boolean reading;
    private boolean replyPending;
    private boolean paused;
    private long callNumber;
    private long readNumber;
    private long revision;

    /**
     * Creates a watch.
     *
     * @param schedule how long the watch calls wait
     * @param batchDelayMillis the delay after changes before the next watch call; it batches
     *     changes because calls are charged
     */
    StoreWatch(
            EventLoop loop,
            StoreClient store,
            String prefix,
            WatchSchedule schedule,
            LongSupplier batchDelayMillis,
            Listener listener,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.prefix = prefix;
        this.schedule = schedule;
        this.batchDelayMillis = batchDelayMillis;
        this.listener = listener;
        this.log = log;
    }

    /**
     * Reads the keys, then watches them. Replaces reads and watch calls that are under way. Has no
     * effect while paused.
     */
    void start() {
        if (paused) {
            return;
        }
        callNumber++;
        replyPending = false;
        reading = true;
        readPages(++readNumber, new ArrayList<>(), "", Long.MAX_VALUE);
    }

    /** Sets how long the next calls wait. */
    void setSchedule(WatchSchedule newSchedule) {
        schedule = newSchedule;
    }

    /** Sets what runs when a call is answered after one that failed. */
    void onRegained(Runnable task) {
        onRegained = task;
    }

    /** Makes no calls until {@link #resume}; a pending reply is ignored. */
    void pause() {
        paused = true;
        replyPending = false;
        callNumber++;
        readNumber++;
    }

    /** Watches again, for changes after {@code knownRevision}. */
    void resume(long knownRevision) {
        if (paused) {
            paused = false;
            revision = knownRevision;
            awaitChanges();
        }
    }

    private void readPages(
            long number, List<StoreItem> previousItems, String afterKey, long firstRevision) {
        store.range(
                prefix,
                afterKey,
                answer -> {
                    if (number != readNumber) {
                        return;
                    }
                    switch (answer) {
                        case StoreAnswer.Page(
                                        List<StoreItem> items,
                                        boolean truncated,
                                        long pageRevision) -> {
                            List<StoreItem> all = new ArrayList<>(previousItems);
                            all.addAll(items);
                            // Changes may occur between pages; watch from the first page's
                            // revision.
                            long first = Math.min(firstRevision, pageRevision);
                            if (truncated && !items.isEmpty()) {
                                readPages(number, all, items.getLast().key(), first);
                                return;
                            }
                            handleSuccess();
                            revision = first;
                            notifyListener(() -> listener.loaded(all, first));
                            awaitChanges();
                        }
                        case StoreAnswer.HistoryGone gone -> start();
                        default -> retry(answer, this::start);
                    }
                });
    }

    /**
     * Calls again without waiting for a pending reply, whose connection may have gone silent. Has
     * no effect while no reply is pending.
     */
    void checkConnection() {
        if (replyPending) {
            awaitChanges();
        }
    }

    /**
     * Calls again without waiting for the end of a delay after a failure, or for the reply to a
     * call that was made after one. Has no effect if the last call was answered.
     */
    void retryNow() {
        if (paused || !storeUnavailable) {
            return;
        }
        if (reading) {
            start();
        } else {
            awaitChanges();
        }
    }

    private void awaitChanges() {
        long number = ++callNumber;
        reading = false;
        replyPending = true;
        store.watch(
                prefix,
                revision,
                schedule.next(System.nanoTime()),
                answer -> {
                    if (number != callNumber) {
                        // Replaced by a later call, which gets the same changes.
                        return;
                    }
                    replyPending = false;
                    switch (answer) {
                        case StoreAnswer.Changes(List<StoreChange> changes, long newRevision) -> {
                            handleSuccess();
                            revision = Math.max(revision, newRevision);
                            notifyListener(() -> listener.changed(changes, newRevision));
                            if (changes.isEmpty()) {
                                awaitChanges();
                            } else {
                                callLater(this::awaitChanges, batchDelayMillis.getAsLong());
                            }
                        }
                        case StoreAnswer.HistoryGone() -> {
                            log.line("store.history_gone").add("prefix", prefix).write();
                            start();
                        }
                        default -> retry(answer, this::awaitChanges);
                    }
                });
    }

    /** Runs {@code notification} so that an exception of the listener does not end the watch. */
    private void notifyListener(Runnable notification) {
        GuardedTask.run("listener of store watch " + prefix, notification, log);
    }

    private void handleSuccess() {
        schedule.recordReply(System.nanoTime());
        boolean regained = storeUnavailable;
        storeUnavailable = false;
        if (regained) {
            log.line("store.regained").add("prefix", prefix).write();
        }
        listener.callSucceeded(System.nanoTime());
        if (regained) {
            GuardedTask.run("store watch " + prefix + " regained", onRegained, log);
        }
    }

    private void retry(StoreAnswer answer, Runnable retryTask) {
        if (!storeUnavailable) {
            storeUnavailable = true;
            log.line("store.lost")
                    .add("prefix", prefix)
                    .add("revision", revision)
                    .add("answer", '"' + answer.toString() + '"')
                    .write();
        }
        listener.callFailed(answer);
        long now = System.nanoTime();
        callLater(retryTask, TimeUnit.NANOSECONDS.toMillis(schedule.recordFailure(now) - now));
    }

    /** Runs {@code task} after the delay, unless the watch was paused in the meantime. */
    private void callLater(Runnable task, long delayMillis) {
        long number = callNumber;
        loop.schedule(
                () -> {
                    if (number == callNumber) {
                        task.run();
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }
}
