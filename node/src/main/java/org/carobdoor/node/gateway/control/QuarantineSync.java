package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.carobdoor.NodeId;
import org.carobdoor.internal.quarantine.QuarantineStoreStep;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.message.CrashReport;
import org.carobdoor.message.FeatureClearance;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.QuarantineMessage;
import org.carobdoor.message.QuarantineNotice;
import org.carobdoor.message.RequestPattern;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.quarantine.RequestQuarantine;
import org.carobdoor.wire.TcpPeerNetwork;

/**
 * Exchanges the quarantine of this node with the other nodes and the store.
 *
 * <p>Observations are sent to all nodes when they are made, since the periodic status takes seconds
 * in a large cluster. A node that missed them is detected by the digest in its status. Must be used
 * on the event loop.
 */
final class QuarantineSync {
    private static final long TICK_INTERVAL_MILLIS = 250;

    /** Messages are sent twice, since a connection to a peer may break at any time. */
    private static final long REPEAT_DELAY_MILLIS = 300;

    /** How long a peer's digest must differ before it is sent the entries. */
    private static final long DIGEST_MISMATCH_NANOS = 500_000_000L;

    private final EventLoop loop;
    private final StoreClient store;
    private final TcpPeerNetwork network;
    private final RequestQuarantine quarantine;
    private final Consumer<QuarantineMessage> sendToAll;
    private final DecisionLog log;
    private final Map<String, Long> mismatchSinceNanos = new HashMap<>();

    QuarantineSync(
            EventLoop loop,
            StoreClient store,
            TcpPeerNetwork network,
            RequestQuarantine quarantine,
            Consumer<QuarantineMessage> sendToAll,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.network = network;
        this.quarantine = quarantine;
        this.sendToAll = sendToAll;
        this.log = log;
        quarantine.setBroadcast(this::broadcast);
        receive(CrashReport.class);
        receive(FeatureClearance.class);
        receive(QuarantineNotice.class);
    }

    private <M extends QuarantineMessage> void receive(Class<M> type) {
        network.handle(
                type,
                (from, message) -> {
                    loop.execute(() -> quarantine.receive(message, from.value()));
                    return null;
                });
    }

    void start() {
        GuardedTask.repeat(loop, "quarantine", this::writeDueSteps, TICK_INTERVAL_MILLIS, log);
    }

    private void broadcast(QuarantineMessage message) {
        sendToAll.accept(message);
        loop.schedule(() -> sendToAll.accept(message), REPEAT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends all entries to a peer whose status shows that it knows different ones. */
    void statusReceived(NodeStatus status) {
        String peer = status.run();
        if (quarantine.isEmpty() || status.quarantineDigest() == quarantine.digest()) {
            mismatchSinceNanos.remove(peer);
            return;
        }
        long now = System.nanoTime();
        Long since = mismatchSinceNanos.putIfAbsent(peer, now);
        if (since != null && now - since > DIGEST_MISMATCH_NANOS) {
            mismatchSinceNanos.remove(peer);
            quarantine.notices().forEach(n -> network.send(new NodeId(peer), n));
        }
    }

    /** Forgets a run that has ended. */
    void peerRemoved(String peer) {
        mismatchSinceNanos.remove(peer);
    }

    /** Applies a complete read of the node keys at {@code revision}. */
    void loaded(List<StoreItem> items, long revision) {
        Set<RequestPattern> listed = new HashSet<>();
        items.forEach(item -> QuarantineRecord.pattern(item.key()).ifPresent(listed::add));
        quarantine.removeMissing(listed, revision);
    }

    /** Applies a written key below {@link NodeStoreKeys#QUARANTINE_PREFIX}. */
    void keyWritten(StoreItem item) {
        Optional<QuarantineEntry> entry = QuarantineRecord.decode(item.key(), item.value());
        if (entry.isPresent()) {
            quarantine.put(entry.get(), item.revision());
        } else {
            log.line("quarantine.unreadable").add("key", item.key()).write();
        }
    }

    /** Applies the deletion of a key below {@link NodeStoreKeys#QUARANTINE_PREFIX}. */
    void keyDeleted(String key, long revision) {
        QuarantineRecord.pattern(key).ifPresent(p -> quarantine.remove(p, revision));
    }

    /** Makes the writes that failed while the store was away. */
    void storeRegained() {
        quarantine.storeRegained();
        writeDueSteps();
    }

    private void writeDueSteps() {
        for (QuarantineStoreStep step : quarantine.dueSteps()) {
            String key = QuarantineRecord.key(step.pattern());
            Consumer<StoreAnswer> callback = answer -> handleAnswer(step, answer);
            switch (step) {
                case QuarantineStoreStep.Create(QuarantineEntry e) ->
                        store.write(Map.of(key, 0L), key, QuarantineRecord.encode(e), 0, callback);
                case QuarantineStoreStep.Update(QuarantineEntry e, long revision) ->
                        store.write(
                                Map.of(key, revision),
                                key,
                                QuarantineRecord.encode(e),
                                0,
                                callback);
                case QuarantineStoreStep.Delete(RequestPattern p, long revision) ->
                        store.delete(key, revision, callback);
            }
        }
    }

    private void handleAnswer(QuarantineStoreStep step, StoreAnswer answer) {
        if (answer instanceof StoreAnswer.Written(long revision)) {
            quarantine.stepWritten(step, revision);
        } else {
            // A conflict means that another node wrote first; its entry arrives by the watch. After
            // any other answer the step becomes due again.
            if (!(answer instanceof StoreAnswer.Conflict)) {
                quarantine.stepFailed(step);
            }
            log.line("quarantine.not_written")
                    .add("step", step.getClass().getSimpleName())
                    .add("pattern", step.pattern())
                    .add("answer", '"' + answer.toString() + '"')
                    .write();
        }
    }
}
