package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.carobdoor.Bytes;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.StoreEra;
import org.carobdoor.internal.store.WatchSchedule;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.platform.HttpCall;
import org.carobdoor.platform.HttpReply;
import org.carobdoor.platform.StoreCalls;
import org.carobdoor.platform.StoreReplies;

/**
 * Asynchronous client of the platform's store; callbacks run on the event loop.
 *
 * <p>All revisions that it takes and returns are combined with the era of the store. A call that
 * refers to an earlier era is answered without the store.
 */
final class StoreClient {
    /** Receives the eras of the store. */
    interface EraListener {
        /** Called when a new era begins, before any answer of it is handed out. */
        void eraBegan(long former, long era);
    }

    /** The store replies within milliseconds, but on some days takes 50 times as long or more. */
    private static final long CALL_TIMEOUT_MILLIS = 1_500;

    /** Leaves a single reply the largest size that a page or a watch may have. */
    private static final long MAX_REPLY_BYTES = 40L << 20;

    private final EventLoop loop;
    private final PlatformClient client;
    private final StoreEra era = StoreEra.create();
    private EraListener eraListener = (former, began) -> {};

    StoreClient(EventLoop loop, InetSocketAddress address, DecisionLog log) {
        this.loop = loop;
        client = new PlatformClient(loop, address, MAX_REPLY_BYTES, log);
    }

    long callCount() {
        return client.callCount();
    }

    /** Sets the listener of eras. */
    void onNewEra(EraListener listener) {
        eraListener = listener;
    }

    /** Returns the era of the store; 0 if it states none. */
    long era() {
        return era.current();
    }

    /** Records an era that the store has stated to this or another node. */
    void observeEra(long stated) {
        long former = era.current();
        if (era.observe(stated)) {
            eraListener.eraBegan(former, stated);
        }
    }

    void range(String prefix, String afterKey, Consumer<StoreAnswer> callback) {
        call(
                afterKey.isEmpty() ? StoreEra.Call.FIRST_PAGE : StoreEra.Call.NEXT_PAGE,
                StoreCalls.range(prefix, afterKey),
                CALL_TIMEOUT_MILLIS,
                StoreReplies::range,
                callback);
    }

    /** Waits for changes after {@code revision}, until {@code schedule} gives the call up. */
    void watch(
            String prefix,
            long revision,
            WatchSchedule.Call schedule,
            Consumer<StoreAnswer> callback) {
        if (!era.isCurrent(revision)) {
            loop.execute(() -> callback.accept(new StoreAnswer.HistoryGone()));
            return;
        }
        call(
                StoreEra.Call.WATCH,
                StoreCalls.watch(prefix, era.inStore(revision), schedule.waitMillis()),
                TimeUnit.NANOSECONDS.toMillis(schedule.giveUpNanos() - System.nanoTime()),
                StoreReplies::watch,
                callback);
    }

    void write(
            Map<String, Long> conditions,
            String key,
            Bytes value,
            long lease,
            Consumer<StoreAnswer> callback) {
        Map<String, Long> expected = new HashMap<>();
        for (Map.Entry<String, Long> c : conditions.entrySet()) {
            if (!era.isCurrent(c.getValue())) {
                loop.execute(() -> callback.accept(new StoreAnswer.Conflict()));
                return;
            }
            expected.put(c.getKey(), era.inStore(c.getValue()));
        }
        call(
                StoreEra.Call.WRITE,
                StoreCalls.write(expected, key, value, lease),
                CALL_TIMEOUT_MILLIS,
                StoreReplies::write,
                callback);
    }

    /** Deletes a key if it has the given revision. */
    void delete(String key, long revision, Consumer<StoreAnswer> callback) {
        if (!era.isCurrent(revision)) {
            loop.execute(() -> callback.accept(new StoreAnswer.Conflict()));
            return;
        }
        call(
                StoreEra.Call.WRITE,
                StoreCalls.delete(key, era.inStore(revision)),
                CALL_TIMEOUT_MILLIS,
                StoreReplies::write,
                callback);
    }

    void acquireLease(long ttlMillis, Consumer<StoreAnswer> callback) {
        call(
                StoreEra.Call.WRITE,
                StoreCalls.acquireLease(ttlMillis),
                CALL_TIMEOUT_MILLIS,
                StoreReplies::acquireLease,
                callback);
    }

    void renewLease(long lease, Consumer<StoreAnswer> callback) {
        call(
                StoreEra.Call.RENEWAL,
                StoreCalls.renewLease(lease),
                CALL_TIMEOUT_MILLIS,
                r -> StoreReplies.renewLease(r, lease),
                callback);
    }

    /** Revokes a lease; the callback receives whether the store has replied. */
    void revokeLease(long lease, Consumer<Boolean> callback) {
        client.call(
                StoreCalls.revokeLease(lease),
                CALL_TIMEOUT_MILLIS,
                outcome -> callback.accept(outcome instanceof PlatformClient.Outcome.Replied));
    }

    private void call(
            StoreEra.Call kind,
            HttpCall call,
            long timeoutMillis,
            Function<HttpReply, StoreAnswer> decoder,
            Consumer<StoreAnswer> callback) {
        long sentIn = era.atSending();
        client.call(
                call,
                timeoutMillis,
                outcome ->
                        callback.accept(
                                switch (outcome) {
                                    case PlatformClient.Outcome.Replied(HttpReply reply) ->
                                            attribute(reply, decoder.apply(reply), sentIn, kind);
                                    case PlatformClient.Outcome.NotSent(String detail) ->
                                            new StoreAnswer.NotDone(detail);
                                    case PlatformClient.Outcome.NoReply(String detail) ->
                                            new StoreAnswer.Unknown(detail);
                                }));
    }

    private StoreAnswer attribute(
            HttpReply reply, StoreAnswer answer, long sentIn, StoreEra.Call kind) {
        // A refusal may come from something before the store, which does not know its era.
        boolean refused = answer instanceof StoreAnswer.NotDone;
        if (reply.storeEra().isPresent() || !refused) {
            observeEra(reply.storeEra().orElse(0));
        }
        return era.attribute(answer, reply.storeEra(), sentIn, kind);
    }
}
