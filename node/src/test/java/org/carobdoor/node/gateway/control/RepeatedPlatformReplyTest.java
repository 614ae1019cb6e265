package org.carobdoor.node.gateway.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.carobdoor.standins.gateway.RepeatingReplyStandIn.reply;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.carobdoor.Bytes;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.StoreChange;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.internal.store.WatchSchedule;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.standins.gateway.RepeatingReplyStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a repeated reply of the platform that is taken for the reply to the next call. */
final class RepeatedPlatformReplyTest {
    private static final long LEASE = 7;
    private static final String RENEWED = reply("200 OK", "{\"ttlMs\":3000}");
    private static final String ENDED = reply("404 Not Found", "{}");

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 10, 100, 300})
    void endedLeaseIsNotTakenForRenewed(long repeatMillis) throws Exception {
        assertThat(
                        secondAnswer(
                                repeatMillis,
                                RENEWED,
                                ENDED,
                                (store, callback) -> store.renewLease(LEASE, callback)))
                .isInstanceOf(StoreAnswer.Missing.class);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 10, 100, 300})
    void failedWriteIsNotTakenForDone(long repeatMillis) throws Exception {
        assertThat(
                        secondAnswer(
                                repeatMillis,
                                reply("200 OK", "{\"revision\":50}"),
                                reply("412 Precondition Failed", "{\"items\":[]}"),
                                (store, callback) ->
                                        store.write(
                                                Map.of("k", 4L),
                                                "k",
                                                Bytes.utf8("v"),
                                                0,
                                                callback)))
                .isInstanceOf(StoreAnswer.Conflict.class);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 10, 100, 300})
    void watchSkipsNoChanges(long repeatMillis) throws Exception {
        RepeatingReplyStandIn platform =
                RepeatingReplyStandIn.start(
                        repeatMillis,
                        reply("200 OK", "{\"items\":[],\"truncated\":false,\"storeRevision\":10}"),
                        reply("200 OK", "{\"events\":[],\"storeRevision\":900}"),
                        reply(
                                "200 OK",
                                "{\"events\":[{\"key\":\"servers/a\",\"revision\":11,"
                                        + "\"tombstone\":true}],\"storeRevision\":11}"));
        CompletableFuture<List<StoreChange>> first = new CompletableFuture<>();
        try (platform) {
            StoreClient store = new StoreClient(loop, platform.address(), DecisionLog.create());
            StoreWatch watch =
                    new StoreWatch(
                            loop,
                            store,
                            "servers/",
                            WatchSchedule.create(Duration.ofSeconds(5), System.nanoTime()),
                            () -> 10_000,
                            new StoreWatch.Listener() {
                                @Override
                                public void loaded(List<StoreItem> items, long revision) {}

                                @Override
                                public void changed(List<StoreChange> changes, long revision) {
                                    first.complete(changes);
                                }
                            },
                            DecisionLog.create());
            loop.execute(watch::start);
            assertThat(first.get(5, TimeUnit.SECONDS))
                    .containsExactly(new StoreChange.Deleted("servers/a", 11));
        }
    }

    @Test
    void interimReplyIsNotTakenForTheFinalOne() throws Exception {
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        try (RepeatingReplyStandIn platform =
                RepeatingReplyStandIn.start(0, interim, RENEWED, "")) {
            StoreClient store = new StoreClient(loop, platform.address(), DecisionLog.create());
            CompletableFuture<StoreAnswer> answer = new CompletableFuture<>();
            loop.execute(() -> store.renewLease(LEASE, answer::complete));
            assertThat(answer.get(5, TimeUnit.SECONDS))
                    .isEqualTo(new StoreAnswer.LeaseGranted(LEASE, 3000));
        }
    }

    private interface StoreCall {
        void call(StoreClient store, Consumer<StoreAnswer> callback);
    }

    /** Returns the answer to a call made by the callback of an equal one with a repeated reply. */
    private StoreAnswer secondAnswer(
            long repeatMillis, String firstReply, String secondReply, StoreCall call)
            throws Exception {
        CompletableFuture<StoreAnswer> answer = new CompletableFuture<>();
        try (RepeatingReplyStandIn platform =
                RepeatingReplyStandIn.start(repeatMillis, firstReply, firstReply, secondReply)) {
            StoreClient store = new StoreClient(loop, platform.address(), DecisionLog.create());
            loop.execute(() -> call.call(store, first -> call.call(store, answer::complete)));
            StoreAnswer second = answer.get(5, TimeUnit.SECONDS);
            assertWithMessage("calls").that(platform.requests()).isEqualTo(2);
            return second;
        }
    }
}
