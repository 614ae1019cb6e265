package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.NodeId;
import org.carobdoor.internal.quota.NodeCensus;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.StoreMirror;
import org.carobdoor.message.StoreMirrorRequest;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.wire.TcpPeerNetwork;

/**
 * The other nodes: listed in the store under leases, and heard directly several times a second.
 *
 * <p>A node whose key is gone still counts while it is heard, since keys lapse when the store is
 * away. Belongs to the event loop.
 */
final class Peers {
    /** Is told what other nodes say. */
    interface Listener {
        /** A node has sent its status. */
        void status(NodeStatus status);

        /** A node is gone: neither listed nor heard. */
        void gone(String run);
    }

    private static final long LEASE_MILLIS = 9_000;
    private static final long RENEW_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 500;
    private static final long HEARD_NANOS = 3_000_000_000L;

    /** Three statuses of each node of a zone are missing: the zone is cut off, or all are gone. */
    private static final long ZONE_SILENT_NANOS = 650_000_000L;

    /** The status interval of a small group; it grows so that a node's messages stay bounded. */
    private static final long MIN_STATUS_MILLIS = 200;

    /** Each further node lengthens the interval by this much: at most 66 messages a second. */
    private static final long STATUS_MILLIS_PER_NODE = 15;

    /** How long this node must be behind another one before it asks, so that the store is first. */
    private static final long BEHIND_NANOS = 150_000_000L;

    private final EventLoop loop;
    private final Store store;
    private final TcpPeerNetwork network;
    private final Mirror mirror;
    private final String run;
    private final PeerAddress self;
    private final Listener listener;
    private final DecisionLog log;
    private final Map<NodeId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final NodeCensus census = NodeCensus.create();
    private final Map<String, Long> heardAtNanos = new HashMap<>();
    private final Map<String, AvailabilityZone> zones = new HashMap<>();
    private final AvailabilityZone ownZone;
    private final Supplier<NodeStatus> status;
    private final BooleanSupplier directoryStale;
    private long lease;
    private long behindSinceNanos;
    private boolean stopped;

    Peers(
            EventLoop loop,
            Store store,
            TcpPeerNetwork network,
            Mirror mirror,
            PeerAddress self,
            AvailabilityZone ownZone,
            Supplier<NodeStatus> status,
            BooleanSupplier directoryStale,
            Listener listener,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.network = network;
        this.mirror = mirror;
        this.self = self;
        this.ownZone = ownZone;
        this.run = self.run();
        this.status = status;
        this.directoryStale = directoryStale;
        this.listener = listener;
        this.log = log;
        network.resolveWith(id -> Optional.ofNullable(addresses.get(id)));
        network.handle(
                NodeStatus.class,
                (from, m) -> {
                    loop.execute(() -> received(m));
                    return null;
                });
        network.handle(
                StoreMirrorRequest.class,
                (from, m) -> {
                    loop.execute(
                            () -> mirror.answer(m).ifPresent(answer -> network.send(from, answer)));
                    return null;
                });
        network.handle(
                StoreMirror.class,
                (from, m) -> {
                    loop.execute(() -> mirror.apply(m, from.value()));
                    return null;
                });
    }

    /** Lists this node in the store and starts to tell the others its status. */
    void start() {
        register();
        sendStatus();
    }

    /** Stops telling the others, and ends the entry in the store. */
    void stop() {
        stopped = true;
        if (lease != 0) {
            store.endLease(lease);
        }
    }

    /** Notes that the store lists a run of a node. */
    void listed(PeerAddress peer) {
        if (!peer.run().equals(run)
                && addresses.put(new NodeId(peer.run()), peer.address()) == null) {
            log.line("peer.listed").add("peer", peer.run()).write();
        }
    }

    /** Notes that the store lists a run no more. */
    void unlisted(String peerRun) {
        if (!isHeard(peerRun)) {
            forget(peerRun);
        }
    }

    /** Notes that exactly these runs are listed. */
    void listedExactly(Set<String> runs) {
        for (NodeId id : Set.copyOf(addresses.keySet())) {
            if (!runs.contains(id.value())) {
                unlisted(id.value());
            }
        }
    }

    /** Returns the zones of other nodes, none of whose nodes has been heard lately. */
    Set<AvailabilityZone> silentZones() {
        long now = System.nanoTime();
        long silence = ZONE_SILENT_NANOS + STATUS_MILLIS_PER_NODE * 1_000_000L * addresses.size();
        Set<AvailabilityZone> silent = new HashSet<>();
        Set<AvailabilityZone> heard = new HashSet<>();
        zones.forEach(
                (peerRun, zone) -> {
                    Long at = heardAtNanos.get(peerRun);
                    (at != null && now - at < silence ? heard : silent).add(zone);
                });
        silent.removeAll(heard);
        silent.remove(ownZone);
        return silent;
    }

    /** Returns the number of nodes that may be serving, this one included. */
    int nodeCount() {
        Set<String> names = new HashSet<>();
        addresses.keySet().forEach(id -> names.add(NodeStatus.nodeOf(id.value())));
        names.add(NodeStatus.nodeOf(run));
        return census.count(names, System.nanoTime());
    }

    /** Returns whether every other node was heard within the last second or so. */
    boolean allHeard() {
        return addresses.keySet().stream().allMatch(id -> isHeard(id.value()));
    }

    private boolean isHeard(String peerRun) {
        Long at = heardAtNanos.get(peerRun);
        return at != null && System.nanoTime() - at < HEARD_NANOS;
    }

    private void forget(String peerRun) {
        heardAtNanos.remove(peerRun);
        zones.remove(peerRun);
        if (addresses.remove(new NodeId(peerRun)) != null) {
            log.line("peer.gone").add("peer", peerRun).write();
            listener.gone(peerRun);
        }
    }

    private void received(NodeStatus m) {
        heardAtNanos.put(m.run(), System.nanoTime());
        if (!m.zone().isBlank()) {
            zones.put(m.run(), new AvailabilityZone(m.zone()));
        }
        listener.status(m);
        boolean behind =
                m.configurationRevision() > mirror.configurationRevision()
                        || (directoryStale.getAsBoolean()
                                && m.directoryRevision() > mirror.directoryRevision());
        long now = System.nanoTime();
        if (!behind) {
            return;
        }
        if (behindSinceNanos == 0) {
            behindSinceNanos = now;
        } else if (now - behindSinceNanos > BEHIND_NANOS) {
            behindSinceNanos = 0;
            network.send(
                    new NodeId(m.run()),
                    new StoreMirrorRequest(
                            mirror.configurationRevision(), mirror.directoryRevision()));
        }
    }

    private void sendStatus() {
        if (stopped) {
            return;
        }
        NodeStatus s = status.get();
        addresses.keySet().forEach(id -> network.send(id, s));
        long interval = Math.max(MIN_STATUS_MILLIS, STATUS_MILLIS_PER_NODE * addresses.size());
        loop.schedule(this::sendStatus, interval, TimeUnit.MILLISECONDS);
        for (NodeId id : Set.copyOf(addresses.keySet())) {
            // A run that has been replaced by a later one of the same node is never heard again.
            if (!isHeard(id.value()) && isReplaced(id.value())) {
                forget(id.value());
            }
        }
    }

    private boolean isReplaced(String peerRun) {
        String node = NodeStatus.nodeOf(peerRun);
        return addresses.keySet().stream()
                .anyMatch(
                        id ->
                                !id.value().equals(peerRun)
                                        && NodeStatus.nodeOf(id.value()).equals(node)
                                        && isHeard(id.value()));
    }

    private void register() {
        if (stopped) {
            return;
        }
        store.takeLease(
                LEASE_MILLIS,
                answer -> {
                    if (answer instanceof StoreAnswer.LeaseRuns(long newLease, long ttl)) {
                        lease = newLease;
                        writeEntry();
                    } else {
                        later(this::register, RETRY_MILLIS);
                    }
                });
    }

    private void writeEntry() {
        store.write(
                Map.of(),
                OwnKeys.NODES + run,
                self.toValue(),
                lease,
                answer -> {
                    if (answer instanceof StoreAnswer.Written) {
                        later(this::renew, RENEW_MILLIS);
                    } else {
                        later(this::register, RETRY_MILLIS);
                    }
                });
    }

    private void renew() {
        if (stopped) {
            return;
        }
        store.renewLease(
                lease,
                answer -> {
                    switch (answer) {
                        case StoreAnswer.LeaseRuns l -> later(this::renew, RENEW_MILLIS);
                        case StoreAnswer.Missing m -> register();
                        default -> later(this::renew, RETRY_MILLIS);
                    }
                });
    }

    private void later(Runnable task, long millis) {
        loop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }
}
