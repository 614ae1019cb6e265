package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.peers.MirrorPeers;
import org.carobdoor.internal.peers.NodeCensus;
import org.carobdoor.internal.peers.PeerRuns;
import org.carobdoor.internal.peers.StatusExchange;
import org.carobdoor.internal.peers.StatusInterval;
import org.carobdoor.internal.peers.StoreReaderPlan;
import org.carobdoor.internal.store.StoreAnswer;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.StatusBatch;
import org.carobdoor.message.StoreMirror;
import org.carobdoor.message.StoreMirrorRequest;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.wire.TcpPeerNetwork;

/**
 * Registers this node in the store, and exchanges status messages with the other nodes that are
 * listed there. Must be used on the event loop.
 */
final class PeerRegistry {
    /** Receives events of other nodes. */
    interface Listener {
        /**
         * Called when a status of a node has arrived.
         *
         * @param usable whether its values can be applied; otherwise a previous one was missed
         */
        void statusReceived(NodeStatus status, boolean usable);

        /** Called when a run has ended: it is not listed and sends no statuses. */
        void peerRemoved(String run);
    }

    /**
     * How long a stopped node may stay listed. The others detect it earlier, by missing statuses.
     */
    private static final long LEASE_MILLIS = 12_000;

    /** Long since store calls are charged; two renewals may fail before the lease expires. */
    private static final long RENEW_INTERVAL_MILLIS = 4_500;

    private static final long RETRY_DELAY_MILLIS = 500;

    /** Range of the delay before all nodes register again in a store that has lost their leases. */
    private static final long REGISTER_SPREAD_MILLIS = 500;

    /**
     * Time in which three statuses of each node of a zone are missed: the zone is partitioned, or
     * all of its nodes have stopped.
     */
    private static final long ZONE_SILENCE_TIMEOUT_NANOS = 650_000_000L;

    /**
     * How long this node is behind another before it asks it, so that the store can answer first.
     */
    private static final long MIRROR_REQUEST_DELAY_NANOS = 150_000_000L;

    /** How long after its listing a peer counts as new; covers several statuses. */
    private static final long NEW_PEER_PERIOD_NANOS = 3_000_000_000L;

    /** Time without a status after which a node is not expected to watch the store for others. */
    private static final long READER_SILENCE_NANOS = 4_500_000_000L;

    private final EventLoop loop;
    private final StoreClient store;
    private final TcpPeerNetwork network;
    private final LocalStoreMirror mirror;
    private final String run;
    private final PeerAddress self;
    private final Listener listener;
    private final DecisionLog log;
    private final Map<NodeId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final NodeCensus census;
    private final PeerRuns peerRuns;
    private final StatusExchange exchange;
    private final MirrorPeers mirrorPeers = MirrorPeers.create(RandomGenerator.getDefault());
    private final AvailabilityZone ownZone;
    private final int linkMbps;
    private final Supplier<NodeStatus> ownStatus;
    private final BooleanSupplier directoryStale;
    private long statusMessages;
    private long lease;
    private boolean entryMissing;
    private long behindSinceNanos;
    private long newPeerAtNanos = System.nanoTime();
    private boolean stopped;

    /** Counts the registrations, each of which replaces the renewals of the previous one. */
    private long registration;

    /**
     * Creates a registry that knows no other node.
     *
     * @param self the address of this node, with its zone
     * @param linkMbps the bandwidth of the link of this node, in Mbit/s; 0 if it is not known
     */
    PeerRegistry(
            EventLoop loop,
            StoreClient store,
            TcpPeerNetwork network,
            LocalStoreMirror mirror,
            PeerAddress self,
            int linkMbps,
            Supplier<NodeStatus> status,
            BooleanSupplier directoryStale,
            NodeCensus census,
            Listener listener,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.network = network;
        this.mirror = mirror;
        this.self = self;
        this.ownZone = Preconditions.checkPresent(self.zone(), "own zone");
        this.linkMbps = linkMbps;
        this.run = self.run();
        this.peerRuns = PeerRuns.create(run);
        this.exchange = StatusExchange.create(run, ownZone, System.nanoTime());
        this.ownStatus = status;
        this.directoryStale = directoryStale;
        this.census = census;
        this.listener = listener;
        this.log = log;
        network.setAddressResolver(id -> Optional.ofNullable(addresses.get(id)));
        network.handleNonBlocking(
                NodeStatus.class,
                (from, message) ->
                        runOnLoop(
                                () ->
                                        exchange.receive(message, System.nanoTime())
                                                .ifPresent(this::handleStatus)));
        network.handleNonBlocking(
                StatusBatch.class,
                (from, message) ->
                        runOnLoop(
                                () ->
                                        exchange.receive(from.value(), message, System.nanoTime())
                                                .forEach(this::handleStatus)));
        network.handle(
                StoreMirrorRequest.class,
                (from, message) -> {
                    loop.execute(
                            () ->
                                    mirror.reply(message)
                                            .ifPresent(answer -> network.send(from, answer)));
                    return null;
                });
        network.handle(
                StoreMirror.class,
                (from, message) -> {
                    loop.execute(() -> mirror.applyMirror(message, from.value()));
                    return null;
                });
    }

    private void runOnLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    /** Returns whether a recently listed node still lacks the state of the others. */
    boolean hasNewPeer() {
        return System.nanoTime() - newPeerAtNanos < NEW_PEER_PERIOD_NANOS;
    }

    /** Registers this node in the store and starts to send its status to the others. */
    void start() {
        register();
        broadcastPeriodically();
        GuardedTask.repeat(
                loop, "mirror", this::askForChanges, MirrorPeers.ASK_INTERVAL_MILLIS, log);
    }

    /** Registers this node again, since the store is in a new era and has lost its lease. */
    void eraBegan() {
        lease = 0;
        registration++;
        schedule(this::register, RandomGenerator.getDefault().nextLong(REGISTER_SPREAD_MILLIS));
    }

    private void askForChanges() {
        boolean stale = !stopped && directoryStale.getAsBoolean();
        List<String> known = addresses.keySet().stream().map(NodeId::value).toList();
        for (String peer : mirrorPeers.next(stale, known)) {
            requestMirror(new NodeId(peer));
        }
    }

    private void requestMirror(NodeId peer) {
        network.send(
                peer,
                new StoreMirrorRequest(
                        mirror.knownConfigurationRevision(), mirror.directoryRevision()));
    }

    /**
     * Stops sending statuses, and removes the entry from the store; {@code onRemoved} runs when the
     * store has replied or is not going to.
     */
    void stop(Runnable onRemoved) {
        stopped = true;
        if (lease == 0) {
            onRemoved.run();
        } else {
            // No retry because the process exits; without a reply the entry expires with its lease.
            store.revokeLease(lease, replied -> onRemoved.run());
        }
    }

    /** Records that the store lists a run of a node, in an entry of this revision. */
    void peerListed(PeerAddress peer, long revision) {
        if (peer.run().equals(run)) {
            entryMissing = false;
            return;
        }
        addresses.put(new NodeId(peer.run()), peer.address());
        exchange.add(peer.run(), peer.zone());
        if (peerRuns.listed(peer.run(), revision)) {
            newPeerAtNanos = System.nanoTime();
            log.line("peer.listed").add("peer", peer.run()).write();
        }
    }

    /** Records that the store lists the link of a run. */
    void linkListed(String linkRun, String mbps) {
        if (mbps.matches("[0-9]{1,7}")) {
            exchange.setLink(linkRun, Integer.parseInt(mbps));
        }
    }

    /** Records that the store no longer lists the link of a run. */
    void linkUnlisted(String linkRun) {
        exchange.removeLink(linkRun);
        if (linkRun.equals(run)) {
            entryMissing = true;
        }
    }

    /** Records that the store no longer lists a run. */
    void peerUnlisted(String peerRun) {
        if (peerRun.equals(run)) {
            entryMissing = true;
        } else {
            peerRuns.unlisted(peerRun);
        }
    }

    /** Replaces the set of listed runs. */
    void replaceListed(Set<String> listed) {
        entryMissing = !listed.contains(run);
        peerRuns.listedExactly(listed);
    }

    /** Returns the other zones from which no node has sent a status recently. */
    Set<AvailabilityZone> silentZones() {
        int nodes = addresses.size() + 1;
        long silence = ZONE_SILENCE_TIMEOUT_NANOS + StatusInterval.nanos(nodes);
        if (StatusInterval.isRelayed(nodes)) {
            // A relay on the way may have to be replaced first.
            silence += StatusInterval.nanos(nodes);
        }
        Set<AvailabilityZone> silent = peerRuns.silentZones(silence, System.nanoTime());
        silent.remove(ownZone);
        return silent;
    }

    /** Returns the other runs of the zone of this node whose statuses arrive. */
    List<String> heardInZone() {
        long silence = ZONE_SILENCE_TIMEOUT_NANOS + StatusInterval.nanos(addresses.size() + 1);
        return peerRuns.heardIn(ownZone, silence, System.nanoTime());
    }

    /** Returns which nodes watch the store for others. */
    StoreReaderPlan storeReaders(long nowNanos) {
        return exchange.storeReaders(peerRuns.silentRuns(READER_SILENCE_NANOS, nowNanos));
    }

    /** Returns whether this node forwards the statuses of others. */
    boolean isRelay() {
        return exchange.isRelay();
    }

    /** Returns the number of status messages sent since the start. */
    long statusMessages() {
        return statusMessages;
    }

    /** Returns the number of nodes that may be serving, including this one. */
    int nodeCount() {
        return census.count(peerRuns.nodeNames(), System.nanoTime());
    }

    /** Returns whether {@link #nodeCount} includes all nodes that served when this one started. */
    boolean isNodeCountComplete() {
        return census.isComplete();
    }

    /** Returns whether every other node has sent a status recently. */
    boolean allPeersReporting() {
        return peerRuns.allHeard(System.nanoTime());
    }

    private void handleStatus(StatusExchange.Received received) {
        NodeStatus message = received.status();
        long now = System.nanoTime();
        peerRuns.heard(
                message.run(),
                message.zone().isBlank() ? null : new AvailabilityZone(message.zone()),
                now);
        listener.statusReceived(message, received.usable());
        boolean behind =
                mirror.lacksConfiguration(message.configurationRevision())
                        || (directoryStale.getAsBoolean()
                                && message.directoryRevision() > mirror.directoryRevision());
        if (!behind) {
            return;
        }
        if (behindSinceNanos == 0) {
            behindSinceNanos = now;
        } else if (now - behindSinceNanos > MIRROR_REQUEST_DELAY_NANOS) {
            behindSinceNanos = 0;
            requestMirror(new NodeId(message.run()));
        }
    }

    private void broadcastPeriodically() {
        if (stopped) {
            return;
        }
        loop.schedule(this::broadcastPeriodically, exchange.intervalNanos(), TimeUnit.NANOSECONDS);
        GuardedTask.run("status", this::broadcastStatus, log);
    }

    /** Sends a message to all other nodes that are listed. */
    void sendToAll(PeerMessage message) {
        network.send(List.copyOf(addresses.keySet()), message);
    }

    private void broadcastStatus() {
        long now = System.nanoTime();
        Map<PeerMessage, List<NodeId>> receivers = new IdentityHashMap<>();
        for (StatusExchange.Outgoing o : exchange.next(ownStatus.get(), hasNewPeer(), now)) {
            statusMessages++;
            receivers.computeIfAbsent(o.message(), m -> new ArrayList<>()).add(new NodeId(o.run()));
        }
        receivers.forEach((message, runs) -> network.send(runs, message));
        for (String ended : peerRuns.removeEnded(now)) {
            addresses.remove(new NodeId(ended));
            exchange.remove(ended);
            log.line("peer.gone").add("peer", ended).write();
            listener.peerRemoved(ended);
        }
    }

    private void register() {
        if (stopped) {
            return;
        }
        long number = registration;
        store.acquireLease(
                LEASE_MILLIS,
                answer -> {
                    if (number != registration) {
                        return;
                    }
                    if (answer instanceof StoreAnswer.LeaseGranted(long newLease, long ttl)) {
                        lease = newLease;
                        writeLink();
                    } else {
                        schedule(this::register, RETRY_DELAY_MILLIS);
                    }
                });
    }

    /**
     * Writes the link before the entry, so that all nodes, this one included, know it when they
     * list this run, and derive the same relays.
     */
    private void writeLink() {
        if (linkMbps == 0) {
            writeEntry();
            return;
        }
        long number = registration;
        store.write(
                Map.of(),
                NodeStoreKeys.LINKS_PREFIX + run,
                Bytes.utf8(Integer.toString(linkMbps)),
                lease,
                answer -> {
                    if (number != registration) {
                        return;
                    }
                    if (answer instanceof StoreAnswer.Written) {
                        writeEntry();
                    } else {
                        schedule(this::register, RETRY_DELAY_MILLIS);
                    }
                });
    }

    private void writeEntry() {
        long number = registration;
        store.write(
                Map.of(),
                NodeStoreKeys.NODES_PREFIX + run,
                self.encode(),
                lease,
                answer -> {
                    if (number != registration) {
                        return;
                    }
                    if (answer instanceof StoreAnswer.Written) {
                        schedule(this::renew, RENEW_INTERVAL_MILLIS);
                    } else {
                        schedule(this::register, RETRY_DELAY_MILLIS);
                    }
                });
    }

    private void renew() {
        if (stopped) {
            return;
        }
        if (entryMissing) {
            // A write without a reply can be carried out late and bind the entry to an abandoned
            // lease. The entry is then deleted with that lease, while the new lease is renewed.
            log.line("peer.entry_missing").add("lease", lease).write();
            register();
            return;
        }
        long number = registration;
        store.renewLease(
                lease,
                answer -> {
                    if (number != registration) {
                        return;
                    }
                    switch (answer) {
                        case StoreAnswer.LeaseGranted l -> {
                            census.recordRenewed();
                            schedule(this::renew, RENEW_INTERVAL_MILLIS);
                        }
                        case StoreAnswer.Missing missing -> register();
                        default -> schedule(this::renew, RETRY_DELAY_MILLIS);
                    }
                });
    }

    private void schedule(Runnable task, long millis) {
        long number = registration;
        loop.schedule(
                () -> {
                    if (number == registration) {
                        task.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }
}
