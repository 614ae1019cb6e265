package org.carobdoor.internal.peers;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.Rendezvous;
import org.carobdoor.message.NodeStatus;

/**
 * Which nodes of a zone watch the store in a large cluster, and whom they tell.
 *
 * <p>The price of watches grows with the nodes that watch. Each zone has two readers, which all
 * nodes derive from the nodes that the store lists, without an election. Both tell all nodes of
 * their zone up to which revision they are complete, so that a reader that fails leaves no gap;
 * each changed item is sent by one of them, and the other sends it on request.
 *
 * <p>Silent nodes are passed over. Nodes that judge this differently derive more readers or fewer,
 * which costs calls but misses no change: a node that is told nothing watches the store itself.
 *
 * @param relayed whether the cluster is large enough for readers
 * @param reader whether this node is one
 * @param served the nodes to which this node sends changed items
 * @param informed the other nodes of the zone, which it tells only its revision
 */
public record StoreReaderPlan(
        boolean relayed, boolean reader, Set<String> served, Set<String> informed) {
    private static final int READERS_PER_ZONE = 2;

    /** The plan of a small cluster, in which each node watches the store. */
    public static final StoreReaderPlan NONE =
            new StoreReaderPlan(false, false, Set.of(), Set.of());

    /** Copies the sets. */
    public StoreReaderPlan {
        served = Set.copyOf(served);
        informed = Set.copyOf(informed);
    }

    /**
     * Returns the plan of a node in a large cluster.
     *
     * @param others the other nodes of its zone
     * @param silent the runs from which nothing was heard recently
     */
    static StoreReaderPlan inZone(
            RelayPlan.Peer own, Collection<RelayPlan.Peer> others, Set<String> silent) {
        String ownRun = own.run();
        Set<RelayPlan.Peer> zonePeers = new LinkedHashSet<>(others);
        zonePeers.add(own);
        List<RelayPlan.Peer> relays = RelayPlan.relaysOf(zonePeers);
        // Ranked by name, so that a node that restarts keeps its place. Relays send the most
        // already, which is little for a faster link.
        List<RelayPlan.Peer> readers =
                Rendezvous.rank("store", zonePeers, p -> NodeStatus.nodeOf(p.run())).stream()
                        .filter(p -> p.run().equals(ownRun) || !silent.contains(p.run()))
                        .sorted(
                                Comparator.comparingInt(RelayPlan::linkClass)
                                        .reversed()
                                        .thenComparing(relays::contains))
                        .limit(READERS_PER_ZONE)
                        .toList();
        if (!readers.contains(own)) {
            return new StoreReaderPlan(true, false, Set.of(), Set.of());
        }
        Set<String> informed = new LinkedHashSet<>();
        others.forEach(p -> informed.add(p.run()));
        informed.remove(ownRun);
        Set<String> receivers = new LinkedHashSet<>(informed);
        readers.forEach(r -> receivers.remove(r.run()));
        Set<String> served = RelayShares.of(ownRun, readers, receivers, 1);
        informed.removeAll(served);
        return new StoreReaderPlan(true, true, served, informed);
    }

    /**
     * Returns the plan of a node that knows the zones of the other runs.
     *
     * @param own the node, whose zone is known
     */
    static StoreReaderPlan of(
            RelayPlan.Peer own, Collection<RelayPlan.Peer> others, Set<String> silent) {
        if (!StatusInterval.isRelayed(others.size() + 1)) {
            return NONE;
        }
        AvailabilityZone zone = Preconditions.checkPresent(own.zone(), "own zone");
        return inZone(own, others.stream().filter(p -> zone.equals(p.zone())).toList(), silent);
    }
}
