package org.carobdoor.node.gateway.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.carobdoor.internal.peers.StoreReaderPlan;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.internal.store.NewsFollower;
import org.carobdoor.internal.store.NewsOutcome;
import org.carobdoor.internal.store.PrefixCopy;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.StoreChange;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.internal.store.WatchMode;
import org.carobdoor.internal.store.WatchSchedule;
import org.carobdoor.message.StoreNews;
import org.carobdoor.message.StoreNewsRequest;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * The changes of the keys with a prefix, from the watch of this node or from nodes that watch for
 * it. The listener can't tell them apart, and gets each change once. Must be used on the event
 * loop.
 */
final class StoreFeed implements StoreWatch.Listener {
    /** Time after the first read in which the nodes served by others catch up with it. */
    private static final long FIRST_PUBLISH_DELAY_NANOS = 2_000_000_000L;

    private final String prefix;
    private final PrefixCopy copy;
    private final NewsFollower follower;
    private final WatchSchedule ownSchedule;
    private final WatchSchedule readerSchedule;
    private final LongSupplier storeEra;
    private final PollClock polls;
    private final StoreWatch.Listener listener;
    private final DecisionLog log;
    private @Nullable StoreWatch watch;
    private BiConsumer<List<String>, StoreNews> sender = (runs, news) -> {};
    private StoreReaderPlan plan = StoreReaderPlan.NONE;
    private long publishedRevision;
    private long publishFromNanos;
    private long replyNanos;

    /**
     * Creates a feed; {@link #setWatch} must follow.
     *
     * @param ownSchedule the waits of a node that watches for itself
     * @param readerSchedule the waits of a node that watches for others
     * @param storeEra the era of the store's last reply; 0 if the store states none
     * @param polls the polls of the event loop
     */
    StoreFeed(
            String prefix,
            NewsFollower follower,
            WatchSchedule ownSchedule,
            WatchSchedule readerSchedule,
            LongSupplier storeEra,
            PollClock polls,
            StoreWatch.Listener listener,
            DecisionLog log) {
        this.prefix = prefix;
        this.copy = PrefixCopy.create(prefix);
        this.follower = follower;
        this.ownSchedule = ownSchedule;
        this.readerSchedule = readerSchedule;
        this.storeEra = storeEra;
        this.polls = polls;
        this.listener = listener;
        this.log = log;
    }

    void setWatch(StoreWatch storeWatch) {
        watch = storeWatch;
    }

    void setSender(BiConsumer<List<String>, StoreNews> newsSender) {
        sender = newsSender;
    }

    String prefix() {
        return prefix;
    }

    WatchMode mode() {
        return follower.mode();
    }

    /** Returns the time since other nodes last showed the copy to be complete; -1 if never. */
    long newsAgeMillis(long nowNanos) {
        long age = follower.proofAgeNanos(nowNanos);
        return age < 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(age);
    }

    void assign(StoreReaderPlan newPlan, boolean reader) {
        plan = newPlan;
        follower.assign(newPlan.relayed(), reader);
    }

    /** Updates the mode; returns the node to ask for missed changes now. */
    Optional<String> tick(long nowNanos) {
        WatchMode before = follower.mode();
        WatchMode mode = follower.next(nowNanos);
        if (mode != before) {
            changeMode(before, mode, nowNanos);
        }
        return follower.isRelayed()
                ? follower.nextRequest(copy.revision(), nowNanos)
                : Optional.empty();
    }

    private void changeMode(WatchMode before, WatchMode mode, long nowNanos) {
        log.line("store.mode")
                .add("prefix", prefix)
                .add("mode", mode.label())
                .add("before", before.label())
                .add("revision", copy.revision())
                .add("news_age_ms", newsAgeMillis(nowNanos))
                .write();
        StoreWatch w = watch;
        if (w == null) {
            return;
        }
        if (mode == WatchMode.READING) {
            publishedRevision = copy.revision();
        }
        w.setSchedule(mode == WatchMode.READING ? readerSchedule : ownSchedule);
        if (mode == WatchMode.SERVED) {
            w.pause();
        } else if (before == WatchMode.SERVED) {
            if (!follower.isProven(nowNanos)) {
                // Until the store replies to this node, it may be down for all.
                listener.callFailed(new StoreAnswer.Unknown("no news from readers"));
            }
            w.resume(copy.revision());
        } else if (mode == WatchMode.READING) {
            w.checkConnection();
        }
    }

    StoreNewsRequest request() {
        return new StoreNewsRequest(copy.era(), prefix, copy.revision());
    }

    /** Returns what a node lacks; empty if this one is not ahead of it. */
    Optional<StoreNews> reply(StoreNewsRequest request, long nowNanos) {
        if (!copy.isLoaded() || request.era() > copy.era() || follower.mode() == WatchMode.SERVED) {
            return Optional.empty();
        }
        long known = request.era() == copy.era() ? request.revision() : 0;
        long age = TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - replyNanos));
        return Optional.of(copy.newsAfter(known, age));
    }

    /**
     * Applies a message of another node.
     *
     * @param provenNanos when the store gave the sender the reply that the message rests on
     */
    void receive(String from, StoreNews news, long provenNanos, long nowNanos) {
        if (!follower.isRelayed()) {
            return;
        }
        switch (copy.receive(news)) {
            case NewsOutcome.Applied(List<StoreChange> changes, long revision) -> {
                recordProof(provenNanos, nowNanos);
                listener.changed(changes, revision);
            }
            case NewsOutcome.Replaced(List<StoreItem> items, long revision) -> {
                follower.recordComplete();
                recordProof(provenNanos, nowNanos);
                listener.loaded(items, revision);
            }
            case NewsOutcome.Gap g ->
                    follower.recordGap(
                            from,
                            news.era() > copy.era() ? Long.MAX_VALUE : news.revision(),
                            nowNanos);
            case NewsOutcome.Unusable u -> {}
        }
    }

    private void recordProof(long provenNanos, long nowNanos) {
        follower.recordProof(copy.revision(), provenNanos, nowNanos);
        if (follower.isProven(nowNanos)) {
            listener.callSucceeded(provenNanos);
        }
    }

    @Override
    public void loaded(List<StoreItem> items, long revision) {
        if (!copy.isLoaded()) {
            publishFromNanos = System.nanoTime() + FIRST_PUBLISH_DELAY_NANOS;
        }
        NewsOutcome outcome = copy.load(storeEra.getAsLong(), items, revision);
        if (outcome instanceof NewsOutcome.Replaced) {
            follower.recordComplete();
        }
        if (!follower.isRelayed() || outcome instanceof NewsOutcome.Replaced) {
            listener.loaded(items, revision);
        }
        publish();
    }

    @Override
    public void changed(List<StoreChange> changes, long revision) {
        NewsOutcome.Applied applied = copy.watched(changes, revision);
        if (follower.isRelayed()) {
            publish();
            listener.changed(applied.changes(), applied.revision());
        } else {
            listener.changed(changes, revision);
        }
    }

    @Override
    public void callSucceeded(long readNanos) {
        replyNanos = polls.earliestArrivalNanos(readNanos);
        listener.callSucceeded(replyNanos);
    }

    @Override
    public void callFailed(StoreAnswer answer) {
        if (!follower.isProven(System.nanoTime())) {
            listener.callFailed(answer);
        }
    }

    /** Tells the other nodes of the zone what the reply of the store has shown. */
    private void publish() {
        if (follower.mode() != WatchMode.READING || System.nanoTime() - publishFromNanos < 0) {
            publishedRevision = copy.revision();
            return;
        }
        long age = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - replyNanos);
        StoreNews changes = copy.newsAfter(publishedRevision, age);
        sender.accept(List.copyOf(plan.served()), changes);
        sender.accept(List.copyOf(plan.informed()), copy.newsAfter(Long.MAX_VALUE, age));
        publishedRevision = copy.revision();
    }
}
