package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.StoreChange;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * Follows the keys of a prefix: reads them once, then waits for changes after the last revision.
 * Reads them again when the store no longer has the history, and tries on while it does not answer.
 * Belongs to the event loop.
 */
final class StoreWatch {
    /** Is told what the store holds. */
    interface Listener {
        /** All items of the prefix, current at {@code revision}. */
        void loaded(List<StoreItem> items, long revision);

        /** The changes up to {@code revision}. */
        void changed(List<StoreChange> changes, long revision);

        /** The store has answered a call of this watch. */
        default void answered() {}

        /** The store has not answered, or has refused, a call of this watch. */
        default void unanswered() {}
    }

    private static final long FIRST_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 800;

    private final EventLoop loop;
    private final Store store;
    private final String prefix;
    private final long waitMillis;
    private final LongSupplier pauseMillis;
    private final Listener listener;
    private final DecisionLog log;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private boolean away;
    private long revision;

    /**
     * Creates a watch.
     *
     * @param waitMillis how long the store may keep one call waiting
     * @param pauseMillis how long changes may gather between two calls, which are priced
     */
    StoreWatch(
            EventLoop loop,
            Store store,
            String prefix,
            long waitMillis,
            LongSupplier pauseMillis,
            Listener listener,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.prefix = prefix;
        this.waitMillis = waitMillis;
        this.pauseMillis = pauseMillis;
        this.listener = listener;
        this.log = log;
    }

    /** Starts to read. */
    void start() {
        read(new ArrayList<>(), "", Long.MAX_VALUE);
    }

    private void read(List<StoreItem> before, String afterKey, long firstRevision) {
        store.range(
                prefix,
                afterKey,
                answer -> {
                    switch (answer) {
                        case StoreAnswer.Page(
                                        List<StoreItem> items,
                                        boolean truncated,
                                        long pageRevision) -> {
                            List<StoreItem> all = new ArrayList<>(before);
                            all.addAll(items);
                            // Pages are no snapshot: changes since the first one are read again.
                            long first = Math.min(firstRevision, pageRevision);
                            if (truncated && !items.isEmpty()) {
                                read(all, items.getLast().key(), first);
                                return;
                            }
                            noteAnswer();
                            revision = first;
                            tell(() -> listener.loaded(all, first));
                            watch();
                        }
                        default -> retry(answer, this::start);
                    }
                });
    }

    private void watch() {
        store.watch(
                prefix,
                revision,
                waitMillis,
                answer -> {
                    switch (answer) {
                        case StoreAnswer.Changes(List<StoreChange> changes, long newRevision) -> {
                            noteAnswer();
                            revision = Math.max(revision, newRevision);
                            tell(() -> listener.changed(changes, newRevision));
                            if (changes.isEmpty()) {
                                watch();
                            } else {
                                loop.schedule(
                                        this::watch,
                                        pauseMillis.getAsLong(),
                                        TimeUnit.MILLISECONDS);
                            }
                        }
                        case StoreAnswer.HistoryGone() -> {
                            log.line("store.history_gone").add("prefix", prefix).write();
                            start();
                        }
                        default -> retry(answer, this::watch);
                    }
                });
    }

    /** A listener that fails does not end the watch. */
    private void tell(Runnable message) {
        GuardedTask.run("watch of " + prefix, message, log);
    }

    private void noteAnswer() {
        retryMillis = FIRST_RETRY_MILLIS;
        if (away) {
            away = false;
            log.line("store.regained").add("prefix", prefix).write();
        }
        listener.answered();
    }

    private void retry(StoreAnswer answer, Runnable again) {
        if (!away) {
            away = true;
            log.line("store.lost")
                    .add("prefix", prefix)
                    .add("revision", revision)
                    .add("answer", '"' + answer.toString() + '"')
                    .write();
        }
        listener.unanswered();
        loop.schedule(again, retryMillis, TimeUnit.MILLISECONDS);
        retryMillis = Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
    }
}
