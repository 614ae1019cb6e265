package org.carobdoor.internal.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.StatusBatch;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges statuses with the other nodes: directly in a small cluster, through relays in a large
 * one (see {@link RelayPlan}).
 *
 * <p>Messages of a node are bounded by the interval and by the number of nodes that a relay serves.
 * A node that hears nothing from a relay says so in its status and sends it to all nodes of its
 * zone and to the relays of all others; each relay that receives it serves this node for a while.
 * So statuses get through while relays are frozen, killed or cut off, without an agreement on who
 * is. The state is soft: each node derives it from what it receives. Not thread-safe.
 */
public final class StatusExchange {
    /** Intervals without statuses after which a node asks other relays. */
    private static final double SILENT_INTERVALS = 2.5;

    /**
     * How long a relay serves a node that has asked for it: until the store no longer lists a relay
     * that has ended, which takes as long as its lease.
     */
    private static final long SERVE_ON_REQUEST_NANOS = 12_000_000_000L;

    /** Maximum statuses per node that a relay holds, after which the oldest are dropped. */
    private static final int MAX_HELD_PER_NODE = 8;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** A message to send. */
    public record Outgoing(String run, PeerMessage message) {}

    /**
     * A status of another node.
     *
     * @param status the status
     * @param usable whether its values can be applied; they cannot if a previous status was missed
     */
    public record Received(NodeStatus status, boolean usable) {}

    private record Held(NodeStatus status, long receivedNanos) {}

    private static final class Peer {
        private @Nullable AvailabilityZone zone;
        private boolean listed;
        private boolean heard;
        private long sequence;
        private boolean synchronizedValues;
        private long requestedNanos;
        private boolean requested;
    }

    private final Map<String, Peer> peers = new HashMap<>();
    private final List<Held> zoneStatuses = new ArrayList<>();
    private final List<Held> remoteStatuses = new ArrayList<>();
    private final StatusChanges changes = new StatusChanges();
    private final Map<String, Integer> links = new HashMap<>();
    private final String ownRun;
    private final AvailabilityZone ownZone;
    private long servedNanos;
    private boolean relay;

    private StatusExchange(String ownRun, AvailabilityZone ownZone, long nowNanos) {
        this.ownRun = ownRun;
        this.ownZone = ownZone;
        this.servedNanos = nowNanos;
    }

    /** Returns an exchange without peers. */
    public static StatusExchange create(String ownRun, AvailabilityZone ownZone, long nowNanos) {
        return new StatusExchange(ownRun, ownZone, nowNanos);
    }

    /**
     * Adds a run of another node that the store lists.
     *
     * @param zone its zone; null if it is not known
     */
    public void add(String run, @Nullable AvailabilityZone zone) {
        Peer p = peers.computeIfAbsent(run, r -> new Peer());
        p.listed = true;
        if (zone != null) {
            p.zone = zone;
        }
    }

    /**
     * Sets the bandwidth of the link of a run, which may be this one or one that is not added yet.
     *
     * @param linkMbps the bandwidth in Mbit/s
     */
    public void setLink(String run, int linkMbps) {
        links.put(run, linkMbps);
    }

    /**
     * Records that the bandwidth of the link of a run is no longer listed; one of a known run
     * stays.
     */
    public void removeLink(String run) {
        if (!peers.containsKey(run) && !run.equals(ownRun)) {
            links.remove(run);
        }
    }

    /** Removes a run that has ended. */
    public void remove(String run) {
        peers.remove(run);
        links.remove(run);
    }

    /** Returns whether this node was a relay when it last sent its status. */
    public boolean isRelay() {
        return relay;
    }

    /**
     * Returns which nodes watch the store for others.
     *
     * @param silent the runs from which nothing was heard recently
     */
    public StoreReaderPlan storeReaders(Set<String> silent) {
        boolean useLinks = isEachLinkKnown();
        return StoreReaderPlan.of(
                plannedPeer(ownRun, ownZone, useLinks), plannedPeers(useLinks), silent);
    }

    private List<RelayPlan.Peer> plannedPeers(boolean useLinks) {
        List<RelayPlan.Peer> planned = new ArrayList<>();
        peers.forEach((run, p) -> planned.add(plannedPeer(run, p.zone, useLinks)));
        return planned;
    }

    private RelayPlan.Peer plannedPeer(
            String run, @Nullable AvailabilityZone zone, boolean useLinks) {
        return new RelayPlan.Peer(run, zone, useLinks ? links.getOrDefault(run, 0) : 0);
    }

    /**
     * Returns whether all listed runs state their links. Those of a release that knows none choose
     * relays without them, and all nodes have to choose the same ones.
     */
    private boolean isEachLinkKnown() {
        return peers.entrySet().stream()
                .allMatch(e -> !e.getValue().listed || links.containsKey(e.getKey()));
    }

    /** Returns the interval between two calls of {@link #next}. */
    public long intervalNanos() {
        return StatusInterval.sendNanos(peers.size() + 1);
    }

    /**
     * Returns the messages to send now.
     *
     * @param own the own status with all values
     * @param nodesStart whether a node has just started, which does not know the values yet
     */
    public List<Outgoing> next(NodeStatus own, boolean nodesStart, long nowNanos) {
        if (!StatusInterval.isRelayed(peers.size() + 1)) {
            zoneStatuses.clear();
            remoteStatuses.clear();
            servedNanos = nowNanos;
            NodeStatus status = changes.next(own, nodesStart, false, false);
            return peers.keySet().stream().map(run -> new Outgoing(run, status)).toList();
        }
        boolean useLinks = isEachLinkKnown();
        RelayPlan plan =
                RelayPlan.of(plannedPeer(ownRun, ownZone, useLinks), plannedPeers(useLinks));
        relay = plan.relay();
        boolean unserved = nowNanos - servedNanos > (long) (intervalNanos() * SILENT_INTERVALS);
        NodeStatus status = changes.next(own, nodesStart, true, unserved);
        List<Outgoing> messages = new ArrayList<>();
        statusTargets(plan, unserved).forEach(run -> messages.add(new Outgoing(run, status)));
        if (relay) {
            forward(plan, status, messages, nowNanos);
        }
        zoneStatuses.clear();
        remoteStatuses.clear();
        return messages;
    }

    private static Set<String> statusTargets(RelayPlan plan, boolean unserved) {
        Set<String> targets = new LinkedHashSet<>(plan.zoneRelays());
        targets.addAll(plan.unknownZone());
        if (unserved) {
            targets.addAll(plan.zoneNodes());
            targets.addAll(plan.remoteRelays());
        }
        return targets;
    }

    private void forward(RelayPlan plan, NodeStatus own, List<Outgoing> messages, long nowNanos) {
        List<NodeStatus> ofZone = aged(zoneStatuses, nowNanos);
        ofZone.add(own);
        List<NodeStatus> all = aged(remoteStatuses, nowNanos);
        all.addAll(ofZone);
        StatusBatch zoneBatch = new StatusBatch(ofZone);
        StatusBatch allBatch = new StatusBatch(all);
        Set<String> members = new LinkedHashSet<>(plan.members());
        Set<String> remote = new LinkedHashSet<>(plan.servedRemoteRelays());
        peers.forEach(
                (run, p) -> {
                    if (p.requested && nowNanos - p.requestedNanos < SERVE_ON_REQUEST_NANOS) {
                        (ownZone.equals(p.zone) ? members : remote).add(run);
                    }
                });
        if (members.size() > plan.members().size()) {
            // Another relay of the zone is silent, and the zone may be silent to those it serves.
            remote.addAll(plan.remoteRelays());
        }
        members.forEach(run -> messages.add(new Outgoing(run, allBatch)));
        remote.forEach(run -> messages.add(new Outgoing(run, zoneBatch)));
    }

    /** Handles a status that its node has sent itself; empty if it is not newer than the last. */
    public Optional<Received> receive(NodeStatus status, long nowNanos) {
        String run = status.run();
        Optional<Received> received = apply(run, status);
        if (received.isPresent()) {
            hold(status, nowNanos);
        }
        Peer p = peers.get(run);
        if (p != null && status.unserved()) {
            p.requested = true;
            p.requestedNanos = nowNanos;
        }
        if (relay && status.zone().equals(ownZone.value())) {
            servedNanos = nowNanos;
        }
        return received;
    }

    /**
     * Handles statuses that a relay has forwarded; returns those that are newer than the last one
     * of their node.
     *
     * @param from the run of the relay
     */
    public List<Received> receive(String from, StatusBatch batch, long nowNanos) {
        Peer sender = peers.get(from);
        boolean ofOwnZone = sender != null && ownZone.equals(sender.zone);
        if (ofOwnZone && !relay) {
            servedNanos = nowNanos;
        }
        List<Received> received = new ArrayList<>();
        for (NodeStatus status : batch.statuses()) {
            String run = status.run();
            if (!run.equals(ownRun)) {
                Optional<Received> r = apply(run, status);
                r.ifPresent(received::add);
                if (r.isPresent() && relay) {
                    hold(status, nowNanos);
                }
            }
        }
        return received;
    }

    private Optional<Received> apply(String run, NodeStatus status) {
        Peer p = peers.computeIfAbsent(run, r -> new Peer());
        if (p.zone == null && !status.zone().isBlank()) {
            p.zone = new AvailabilityZone(status.zone());
        }
        boolean counted = status.sequence() != 0;
        if (counted && p.heard && status.sequence() <= p.sequence) {
            return Optional.empty();
        }
        boolean next = p.synchronizedValues && status.sequence() == p.sequence + 1;
        p.synchronizedValues = status.isComplete() || next;
        p.sequence = status.sequence();
        p.heard = true;
        return Optional.of(new Received(status, p.synchronizedValues));
    }

    private void hold(NodeStatus status, long nowNanos) {
        boolean ofOwnZone = status.zone().equals(ownZone.value());
        List<Held> held = ofOwnZone ? zoneStatuses : remoteStatuses;
        if (held.size() >= MAX_HELD_PER_NODE * (peers.size() + 1)) {
            held.removeFirst();
        }
        held.add(new Held(status, nowNanos));
    }

    private static List<NodeStatus> aged(List<Held> held, long nowNanos) {
        List<NodeStatus> statuses = new ArrayList<>();
        for (Held h : held) {
            statuses.add(h.status.heldFor((nowNanos - h.receivedNanos) / NANOS_PER_MILLI));
        }
        return statuses;
    }
}
