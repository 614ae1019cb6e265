package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.carobdoor.Bytes;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.platform.HttpCall;
import org.carobdoor.platform.HttpReply;
import org.carobdoor.platform.StoreCalls;
import org.carobdoor.platform.StoreReplies;

/** The platform's store; each call answers later, on the event loop. */
final class Store implements AutoCloseable {
    /** The store answers in milliseconds; slow days multiply that by fifty or more. */
    private static final long CALL_TIMEOUT_MILLIS = 1_500;

    /** What a watch may take beyond its wait before its connection counts as silent. */
    private static final long WATCH_MARGIN_MILLIS = 1_200;

    private final PlatformClient client;

    Store(EventLoop loop, InetSocketAddress address, DecisionLog log) {
        client = new PlatformClient(loop, address, log);
    }

    long calls() {
        return client.calls();
    }

    void range(String prefix, String afterKey, Consumer<StoreAnswer> to) {
        call(StoreCalls.range(prefix, afterKey), CALL_TIMEOUT_MILLIS, StoreReplies::range, to);
    }

    void watch(String prefix, long revision, long waitMillis, Consumer<StoreAnswer> to) {
        call(
                StoreCalls.watch(prefix, revision, waitMillis),
                waitMillis + WATCH_MARGIN_MILLIS,
                StoreReplies::watch,
                to);
    }

    void write(
            Map<String, Long> conditions,
            String key,
            Bytes value,
            long lease,
            Consumer<StoreAnswer> to) {
        call(
                StoreCalls.write(conditions, key, value, lease),
                CALL_TIMEOUT_MILLIS,
                StoreReplies::write,
                to);
    }

    void takeLease(long ttlMillis, Consumer<StoreAnswer> to) {
        call(
                StoreCalls.acquireLease(ttlMillis),
                CALL_TIMEOUT_MILLIS,
                StoreReplies::acquireLease,
                to);
    }

    void renewLease(long lease, Consumer<StoreAnswer> to) {
        call(
                StoreCalls.renewLease(lease),
                CALL_TIMEOUT_MILLIS,
                r -> StoreReplies.renewLease(r, lease),
                to);
    }

    /** Ends a lease; {@code unanswered} runs if the store has not answered. */
    void endLease(long lease, Runnable unanswered) {
        client.call(
                StoreCalls.revokeLease(lease),
                CALL_TIMEOUT_MILLIS,
                outcome -> {
                    if (!(outcome instanceof PlatformClient.Outcome.Replied)) {
                        unanswered.run();
                    }
                });
    }

    private void call(
            HttpCall call,
            long timeoutMillis,
            Function<HttpReply, StoreAnswer> decoder,
            Consumer<StoreAnswer> to) {
        client.call(
                call,
                timeoutMillis,
                outcome ->
                        to.accept(
                                switch (outcome) {
                                    case PlatformClient.Outcome.Replied(HttpReply reply) ->
                                            decoder.apply(reply);
                                    case PlatformClient.Outcome.NotSent(String detail) ->
                                            new StoreAnswer.NotDone(0);
                                    case PlatformClient.Outcome.NoReply(String detail) ->
                                            new StoreAnswer.Unknown(detail);
                                }));
    }

    @Override
    public void close() {
        client.close();
    }
}
