package org.carobdoor.internal.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.Rendezvous;
import org.carobdoor.message.NodeStatus;
import org.jspecify.annotations.Nullable;

/**
 * Who sends statuses to whom in a large cluster.
 *
 * <p>Each zone has a few relays, which all nodes derive from the nodes that the store lists,
 * without messages or an election. Relays send many times what other nodes do, so those with the
 * fastest links are chosen. A node sends its status to all relays of its zone. A relay forwards all
 * statuses to the nodes of its zone, which the relays divide among themselves, and those of its
 * zone to the relays of other zones.
 *
 * <p>Whether a node is silent plays no part: nodes that judge this differently would choose
 * different relays, and groups of them would stop hearing each other. Instead, a receiver that
 * hears nothing asks other relays, see {@link StatusExchange}.
 *
 * @param zoneRelays the other relays of the zone of this node
 * @param zoneNodes the other nodes of the zone
 * @param members the nodes of the zone that this node serves as a relay
 * @param remoteRelays the relays of the other zones
 * @param servedRemoteRelays those of them that this node serves as a relay
 * @param unknownZone the nodes whose zone is not known
 * @param relay whether this node is a relay
 */
record RelayPlan(
        Set<String> zoneRelays,
        Set<String> zoneNodes,
        Set<String> members,
        Set<String> remoteRelays,
        Set<String> servedRemoteRelays,
        Set<String> unknownZone,
        boolean relay) {
    /** At least three, so that statuses get through while two of them are silent. */
    private static final int MIN_RELAYS = 3;

    /** Nodes of a zone for which it has one relay. */
    private static final int NODES_PER_RELAY = 8;

    /**
     * Relays of a zone that serve the same relay of another zone. That one serves nodes itself,
     * which could not tell that the statuses of one zone are missing.
     */
    private static final int SERVERS_OF_REMOTE_RELAY = 2;

    /**
     * A node.
     *
     * @param run its run
     * @param zone its zone; null if it is not known yet
     * @param linkMbps the bandwidth of its link, in Mbit/s; 0 if it is not known
     */
    record Peer(String run, @Nullable AvailabilityZone zone, int linkMbps) {}

    /**
     * Returns the plan of a node.
     *
     * @param own the node, whose zone is known
     */
    static RelayPlan of(Peer own, Collection<Peer> others) {
        String ownRun = own.run();
        AvailabilityZone ownZone = Preconditions.checkPresent(own.zone(), "own zone");
        Map<AvailabilityZone, List<Peer>> byZone = new HashMap<>();
        List<Peer> ownZonePeers = byZone.computeIfAbsent(ownZone, z -> new ArrayList<>());
        ownZonePeers.add(own);
        Set<String> unknownZone = new LinkedHashSet<>();
        for (Peer p : others) {
            AvailabilityZone zone = p.zone();
            if (zone == null) {
                unknownZone.add(p.run());
            } else {
                byZone.computeIfAbsent(zone, z -> new ArrayList<>()).add(p);
            }
        }
        Set<String> zoneNodes = runs(ownZonePeers);
        List<Peer> relays = relaysOf(ownZonePeers);
        Set<String> ownRelays = runs(relays);
        boolean relay = ownRelays.contains(ownRun);
        Set<String> members = new LinkedHashSet<>();
        Set<String> remoteRelays = new LinkedHashSet<>();
        Set<String> servedRemoteRelays = new LinkedHashSet<>();
        byZone.forEach(
                (zone, peers) -> {
                    if (!zone.equals(ownZone)) {
                        remoteRelays.addAll(runs(relaysOf(peers)));
                    }
                });
        if (relay) {
            Set<String> served = new LinkedHashSet<>(zoneNodes);
            ownRelays.forEach(served::remove);
            members.addAll(RelayShares.of(ownRun, relays, served, 1));
            servedRemoteRelays.addAll(
                    RelayShares.of(ownRun, relays, remoteRelays, SERVERS_OF_REMOTE_RELAY));
        }
        zoneNodes.remove(ownRun);
        Set<String> zoneRelays = new LinkedHashSet<>(ownRelays);
        zoneRelays.remove(ownRun);
        return new RelayPlan(
                zoneRelays,
                zoneNodes,
                members,
                remoteRelays,
                servedRemoteRelays,
                unknownZone,
                relay);
    }

    /** Returns the relays of a zone with the nodes {@code peers}. */
    static List<Peer> relaysOf(Collection<Peer> peers) {
        int count = Math.max(MIN_RELAYS, (peers.size() + NODES_PER_RELAY - 1) / NODES_PER_RELAY);
        // Ranked by name, so that a node that restarts keeps its place; its earlier run may still
        // be listed, and shares it.
        return Rendezvous.rank("relay", peers, p -> NodeStatus.nodeOf(p.run())).stream()
                .sorted(Comparator.comparingInt(RelayPlan::linkClass).reversed())
                .limit(count)
                .toList();
    }

    /** Returns the order of magnitude of a link, so that small differences do not decide. */
    static int linkClass(Peer peer) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(peer.linkMbps());
    }

    private static Set<String> runs(Collection<Peer> peers) {
        return peers.stream().map(Peer::run).collect(Collectors.toCollection(LinkedHashSet::new));
    }
}
