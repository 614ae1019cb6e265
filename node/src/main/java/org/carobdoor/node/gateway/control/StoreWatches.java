package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.internal.store.NewsFollower;
import org.carobdoor.internal.store.WatchMode;
import org.carobdoor.internal.store.WatchSchedule;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * The watches of this node. A reply to one of them after a failure shows that the store answers
 * again, so the others call it without waiting for the end of their delays. Must be used on the
 * event loop.
 */
final class StoreWatches {
    /** A node that watches for others adds to their delay, and few nodes do. */
    private static final long READER_BATCH_DELAY_MILLIS = 200;

    /** The stale limit of a node that watches for others, which rely on its recent replies. */
    private static final Duration READER_STALE_LIMIT = Duration.ofMillis(1_300);

    private final EventLoop loop;
    private final StoreClient store;
    private final Consumer<StoreFeed> onAdded;
    private final RandomGenerator random;
    private final PollClock polls;
    private final DecisionLog log;
    private final List<StoreWatch> watches = new ArrayList<>();
    private Runnable onRegained = () -> {};

    /**
     * Creates an instance without watches.
     *
     * @param onAdded receives each added feed, to exchange its changes with the other nodes
     * @param polls the polls of {@code loop}
     */
    StoreWatches(
            EventLoop loop,
            StoreClient store,
            Consumer<StoreFeed> onAdded,
            RandomGenerator random,
            PollClock polls,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.onAdded = onAdded;
        this.random = random;
        this.polls = polls;
        this.log = log;
    }

    /**
     * Adds a watch; {@link #start} starts it.
     *
     * @param schedule the waits while this node watches for itself
     * @param batchDelayMillis the delay after changes before the next watch call
     */
    StoreWatch add(
            String prefix,
            WatchSchedule schedule,
            LongSupplier batchDelayMillis,
            StoreWatch.Listener listener) {
        StoreFeed feed =
                new StoreFeed(
                        prefix,
                        NewsFollower.create(random),
                        schedule,
                        WatchSchedule.create(READER_STALE_LIMIT, System.nanoTime()),
                        store::era,
                        polls,
                        listener,
                        log);
        LongSupplier delay =
                () ->
                        feed.mode() == WatchMode.READING
                                ? Math.min(READER_BATCH_DELAY_MILLIS, batchDelayMillis.getAsLong())
                                : batchDelayMillis.getAsLong();
        StoreWatch watch = new StoreWatch(loop, store, prefix, schedule, delay, feed, log);
        watch.onRegained(() -> regained(watch));
        feed.setWatch(watch);
        onAdded.accept(feed);
        watches.add(watch);
        return watch;
    }

    /** Reads the keys of all watches, then watches them. */
    void start() {
        watches.forEach(StoreWatch::start);
    }

    /** Sets what runs when a watch is answered after a failure. */
    void onRegained(Runnable task) {
        onRegained = task;
    }

    private void regained(StoreWatch regained) {
        watches.stream().filter(w -> w != regained).forEach(StoreWatch::retryNow);
        onRegained.run();
    }
}
