package org.carobdoor.node.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.carobdoor.internal.peers.StoreReaderPlan;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.internal.store.NewsFollower;
import org.carobdoor.internal.store.StoreChange;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.internal.store.WatchSchedule;
import org.carobdoor.message.StoreNews;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.junit.jupiter.api.Test;

/** Guards against news of the store that count as new because they were just read. */
final class StoreFeedTest {
    private static final String PREFIX = "servers/";
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    private final PollClock polls = PollClock.create();
    private final List<Long> proven = new ArrayList<>();
    private final StoreFeed feed =
            new StoreFeed(
                    PREFIX,
                    NewsFollower.create(new SplittableRandom(1)),
                    WatchSchedule.create(Duration.ofSeconds(2), 0),
                    WatchSchedule.create(Duration.ofSeconds(2), 0),
                    () -> 1,
                    polls,
                    new ProofListener(),
                    DecisionLog.create());

    private final class ProofListener implements StoreWatch.Listener {
        @Override
        public void loaded(List<StoreItem> items, long revision) {}

        @Override
        public void changed(List<StoreChange> changes, long revision) {}

        @Override
        public void callSucceeded(long provenNanos) {
            proven.add(provenNanos);
        }
    }

    @Test
    void replyThatWaitedUnreadCountsFromItsEarliestArrival() {
        long read = System.nanoTime();
        polls.recordPoll(read - LATE_NANOS);
        polls.recordPoll(read);
        feed.callSucceeded(read);
        assertThat(proven).containsExactly(read - LATE_NANOS);
    }

    @Test
    void newsOfAnotherNodeCountFromTheReplyThatItsSenderHad() {
        feed.assign(new StoreReaderPlan(true, false, Set.of(), Set.of()), false);
        feed.loaded(List.of(), 5);
        long read = System.nanoTime();
        StoreNews news = new StoreNews(1, PREFIX, 5, 6, List.of(), 0, read);
        feed.receive("n2@1", news, read - LATE_NANOS, read);
        assertThat(proven).containsExactly(read - LATE_NANOS);
    }
}
