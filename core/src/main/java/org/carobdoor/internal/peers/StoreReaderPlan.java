package org.carobdoor.internal.peers;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
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
     * Returns the plan of a node.
     *
     * @param others the runs of other nodes of its zone
     * @param silent the runs from which nothing was heard recently
     */
    static StoreReaderPlan of(String ownRun, Collection<String> others, Set<String> silent) {
        Set<String> candidates = new LinkedHashSet<>(others);
        candidates.removeAll(silent);
        candidates.add(ownRun);
        Set<String> zoneRuns = new LinkedHashSet<>(others);
        zoneRuns.add(ownRun);
        Set<String> unloaded = new LinkedHashSet<>(candidates);
        RelayPlan.relaysOf(zoneRuns).forEach(unloaded::remove);
        if (unloaded.size() >= READERS_PER_ZONE) {
            // Relays send the most already.
            candidates = unloaded;
        }
        // Ranked by name, so that a node that restarts keeps its place.
        List<String> readers =
                Rendezvous.rank("store", candidates, NodeStatus::nodeOf).stream()
                        .limit(READERS_PER_ZONE)
                        .toList();
        if (!readers.contains(ownRun)) {
            return new StoreReaderPlan(true, false, Set.of(), Set.of());
        }
        Set<String> receivers = new LinkedHashSet<>(others);
        receivers.remove(ownRun);
        receivers.removeAll(readers);
        Set<String> served = RelayShares.of(ownRun, readers, receivers, 1);
        Set<String> informed = new LinkedHashSet<>(others);
        informed.remove(ownRun);
        informed.removeAll(served);
        return new StoreReaderPlan(true, true, served, informed);
    }

    /** Returns the plan of a node that knows the zones of the other runs. */
    static StoreReaderPlan of(
            String ownRun,
            AvailabilityZone ownZone,
            Collection<RelayPlan.Peer> others,
            Set<String> silent) {
        if (!StatusInterval.isRelayed(others.size() + 1)) {
            return NONE;
        }
        List<String> zoneRuns =
                others.stream()
                        .filter(p -> ownZone.equals(p.zone()))
                        .map(RelayPlan.Peer::run)
                        .toList();
        return of(ownRun, zoneRuns, silent);
    }
}
