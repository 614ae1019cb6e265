package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.carobdoor.Bytes;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.WatchSchedule;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.platform.HttpCall;
import org.carobdoor.platform.HttpReply;
import org.carobdoor.platform.StoreCalls;
import org.carobdoor.platform.StoreReplies;

/** Asynchronous client of the platform's store; callbacks run on the event loop. */
final class StoreClient {
    /** The store replies within milliseconds, but on some days takes 50 times as long or more. */
    private static final long CALL_TIMEOUT_MILLIS = 1_500;

    /** Leaves a single reply the largest size that a page or a watch may have. */
    private static final long MAX_REPLY_BYTES = 40L << 20;

    private final PlatformClient client;

    StoreClient(EventLoop loop, InetSocketAddress address, DecisionLog log) {
        client = new PlatformClient(loop, address, MAX_REPLY_BYTES, log);
    }

    long callCount() {
        return client.callCount();
    }

    void range(String prefix, String afterKey, Consumer<StoreAnswer> callback) {
        call(
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
        call(
                StoreCalls.watch(prefix, revision, schedule.waitMillis()),
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
        call(
                StoreCalls.write(conditions, key, value, lease),
                CALL_TIMEOUT_MILLIS,
                StoreReplies::write,
                callback);
    }

    /** Deletes a key if it has the given revision. */
    void delete(String key, long revision, Consumer<StoreAnswer> callback) {
        call(StoreCalls.delete(key, revision), CALL_TIMEOUT_MILLIS, StoreReplies::write, callback);
    }

    void acquireLease(long ttlMillis, Consumer<StoreAnswer> callback) {
        call(
                StoreCalls.acquireLease(ttlMillis),
                CALL_TIMEOUT_MILLIS,
                StoreReplies::acquireLease,
                callback);
    }

    void renewLease(long lease, Consumer<StoreAnswer> callback) {
        call(
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
            HttpCall call,
            long timeoutMillis,
            Function<HttpReply, StoreAnswer> decoder,
            Consumer<StoreAnswer> callback) {
        client.call(
                call,
                timeoutMillis,
                outcome ->
                        callback.accept(
                                switch (outcome) {
                                    case PlatformClient.Outcome.Replied(HttpReply reply) ->
                                            decoder.apply(reply);
                                    case PlatformClient.Outcome.NotSent(String detail) ->
                                            new StoreAnswer.NotDone(detail);
                                    case PlatformClient.Outcome.NoReply(String detail) ->
                                            new StoreAnswer.Unknown(detail);
                                }));
    }
}
