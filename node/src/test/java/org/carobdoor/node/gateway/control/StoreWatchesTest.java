package org.carobdoor.node.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.StoreChange;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.internal.store.WatchSchedule;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.standins.gateway.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against old endpoints while another watch of the node has the store again. */
final class StoreWatchesTest {
    /** Failures in a row after which a watch waits longest before its next call. */
    private static final int FAILURES = 5;

    private static final long LONGEST_DELAY_MILLIS = 800;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final StoreStandIn store = StoreStandIn.start();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        store.close();
    }

    @Test
    void watchThatFailedCallsAgainWhenAnotherOneIsAnswered() throws Exception {
        StoreClient client = new StoreClient(loop, store.address(), DecisionLog.create());
        StoreWatches watches =
                new StoreWatches(
                        loop,
                        client,
                        feed -> {},
                        new SplittableRandom(1),
                        PollClock.create(),
                        DecisionLog.create());
        Recorder configuration = new Recorder();
        Recorder endpoints = new Recorder();
        watches.add("op/", schedule(), () -> 0, configuration);
        watches.add("servers/", schedule(), () -> 0, endpoints);
        store.refuseReads("servers/");
        loop.execute(watches::start);
        assertThat(endpoints.failures.await(10, TimeUnit.SECONDS)).isTrue();

        store.setDown(true);
        assertThat(configuration.failed.get(5, TimeUnit.SECONDS)).isNotNull();
        store.refuseReads("");
        store.setDown(false);
        endpoints.loaded.get(3 * LONGEST_DELAY_MILLIS / 4, TimeUnit.MILLISECONDS);
    }

    private static WatchSchedule schedule() {
        return WatchSchedule.create(Duration.ofSeconds(3), System.nanoTime());
    }

    private static final class Recorder implements StoreWatch.Listener {
        final CountDownLatch failures = new CountDownLatch(FAILURES);
        final CompletableFuture<StoreAnswer> failed = new CompletableFuture<>();
        final CompletableFuture<Long> loaded = new CompletableFuture<>();

        @Override
        public void loaded(List<StoreItem> items, long revision) {
            loaded.complete(revision);
        }

        @Override
        public void changed(List<StoreChange> changes, long revision) {}

        @Override
        public void callFailed(StoreAnswer answer) {
            failures.countDown();
            failed.complete(answer);
        }
    }
}
