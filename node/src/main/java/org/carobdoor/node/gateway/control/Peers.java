package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.NodeId;
import org.carobdoor.internal.peers.PeerRuns;
import org.carobdoor.internal.peers.StatusInterval;
import org.carobdoor.internal.quota.NodeCensus;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.StoreMirror;
import org.carobdoor.message.StoreMirrorRequest;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.wire.TcpPeerNetwork;

/**
 * Lists this node in the store, and exchanges statuses with the other nodes that are listed there.
 * Belongs to the event loop.
 */
final class Peers {
    /** Is told what other nodes say. */
    interface Listener {
        /** A node has sent its status. */
        void status(NodeStatus status);

        /** A node is gone: neither listed nor heard. */
        void gone(String run);
    }

    /** A node that is gone stays listed this long; its silence tells the others before. */
    private static final long LEASE_MILLIS = 12_000;

    /** Calls of the store are priced; two renewals may fail within a lease. */
    private static final long RENEW_MILLIS = 4_500;

    private static final long RETRY_MILLIS = 500;

    /** Three statuses of each node of a zone are missing: the zone is cut off, or all are gone. */
    private static final long ZONE_SILENT_NANOS = 650_000_000L;

    /** How long this node must be behind another one before it asks, so that the store is first. */
    private static final long BEHIND_NANOS = 150_000_000L;

    /** How long after its listing a node is sent what it missed: several statuses. */
    private static final long NEW_PEER_NANOS = 3_000_000_000L;

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
    private final PeerRuns runs;
    private final AvailabilityZone ownZone;
    private final Supplier<NodeStatus> status;
    private final BooleanSupplier directoryStale;
    private long lease;
    private boolean entryMissing;
    private long behindSinceNanos;
    private long newPeerAtNanos = System.nanoTime();
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
        this.runs = PeerRuns.create(run);
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

    /** Returns whether a node has been listed lately, which lacks what the others know. */
    boolean hasNewPeer() {
        return System.nanoTime() - newPeerAtNanos < NEW_PEER_NANOS;
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
            // The process ends now; without an answer the entry lapses with its lease.
            store.endLease(lease, () -> {});
        }
    }

    /** Notes that the store lists a run of a node, in an entry of this revision. */
    void listed(PeerAddress peer, long revision) {
        if (peer.run().equals(run)) {
            entryMissing = false;
            return;
        }
        addresses.put(new NodeId(peer.run()), peer.address());
        if (runs.listed(peer.run(), revision)) {
            newPeerAtNanos = System.nanoTime();
            log.line("peer.listed").add("peer", peer.run()).write();
        }
    }

    /** Notes that the store lists a run no more. */
    void unlisted(String peerRun) {
        if (peerRun.equals(run)) {
            entryMissing = true;
        } else {
            runs.unlisted(peerRun);
        }
    }

    /** Notes that exactly these runs are listed. */
    void listedExactly(Set<String> listed) {
        entryMissing = !listed.contains(run);
        runs.listedExactly(listed);
    }

    /** Returns the zones of other nodes, none of whose nodes has been heard lately. */
    Set<AvailabilityZone> silentZones() {
        long silence = ZONE_SILENT_NANOS + StatusInterval.NANOS_PER_NODE * addresses.size();
        Set<AvailabilityZone> silent = runs.silentZones(silence, System.nanoTime());
        silent.remove(ownZone);
        return silent;
    }

    /** Returns the number of nodes that may be serving, this one included. */
    int nodeCount() {
        return census.count(runs.nodeNames(), System.nanoTime());
    }

    /** Returns whether every other node has been heard lately. */
    boolean allHeard() {
        return runs.allHeard(System.nanoTime());
    }

    private void received(NodeStatus m) {
        long now = System.nanoTime();
        runs.heard(m.run(), m.zone().isBlank() ? null : new AvailabilityZone(m.zone()), now);
        listener.status(m);
        boolean behind =
                m.configurationRevision() > mirror.configurationRevision()
                        || (directoryStale.getAsBoolean()
                                && m.directoryRevision() > mirror.directoryRevision());
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
        long interval = StatusInterval.nanos(addresses.size());
        loop.schedule(this::sendStatus, interval, TimeUnit.NANOSECONDS);
        GuardedTask.run("status", this::exchangeStatus, log);
    }

    private void exchangeStatus() {
        NodeStatus s = status.get();
        addresses.keySet().forEach(id -> network.send(id, s));
        for (String ended : runs.removeEnded(System.nanoTime())) {
            addresses.remove(new NodeId(ended));
            log.line("peer.gone").add("peer", ended).write();
            listener.gone(ended);
        }
    }

    private void register() {
        if (stopped) {
            return;
        }
        store.takeLease(
                LEASE_MILLIS,
                answer -> {
                    if (answer instanceof StoreAnswer.LeaseGranted(long newLease, long ttl)) {
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
        if (entryMissing) {
            // A write without a reply can be carried out late and bind the entry to a lease that
            // has been given up; the entry ends with that lease while the new one goes on.
            log.line("peer.entry_missing").add("lease", lease).write();
            register();
            return;
        }
        store.renewLease(
                lease,
                answer -> {
                    switch (answer) {
                        case StoreAnswer.LeaseGranted l -> later(this::renew, RENEW_MILLIS);
                        case StoreAnswer.Missing m -> register();
                        default -> later(this::renew, RETRY_MILLIS);
                    }
                });
    }

    private void later(Runnable task, long millis) {
        loop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }
}
