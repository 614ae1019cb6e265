package org.carobdoor.internal.peers;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobdoor.internal.Rendezvous;
import org.carobdoor.message.NodeStatus;

/**
 * Divides receivers among the relays of a zone, each to the relays that rank first for it and have
 * not got their share yet. Ranks alone would give some relays several times as many as others, and
 * a relay sends statuses of the whole cluster to each. Shares are proportional to the bandwidth of
 * the relays' links.
 *
 * <p>Source of the bounded shares: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with
 * bounded loads", 2018.
 */
final class RelayShares {
    private RelayShares() {}

    /**
     * Returns the receivers that {@code ownRun} serves.
     *
     * @param relays the relays, including {@code ownRun}
     * @param copies the number of relays that serve each receiver
     */
    static Set<String> of(
            String ownRun, List<RelayPlan.Peer> relays, Collection<String> receivers, int copies) {
        long bandwidth = relays.stream().mapToLong(RelayShares::weight).sum();
        long sends = (long) receivers.size() * copies;
        Map<String, Integer> counts = new HashMap<>();
        Set<String> own = new LinkedHashSet<>();
        for (String receiver : Rendezvous.rank("receiver", receivers, NodeStatus::nodeOf)) {
            Set<String> servers = new HashSet<>();
            List<RelayPlan.Peer> ranked =
                    Rendezvous.rank(
                            NodeStatus.nodeOf(receiver), relays, r -> NodeStatus.nodeOf(r.run()));
            for (boolean bounded : new boolean[] {true, false}) {
                for (RelayPlan.Peer relay : ranked) {
                    int count = counts.getOrDefault(relay.run(), 0);
                    long share = Math.ceilDiv(sends * weight(relay), bandwidth);
                    boolean open = !bounded || count < share;
                    if (servers.size() < copies && open && servers.add(relay.run())) {
                        counts.put(relay.run(), count + 1);
                    }
                }
            }
            if (servers.contains(ownRun)) {
                own.add(receiver);
            }
        }
        return own;
    }

    /** Returns the bandwidth of a relay's link, or the least one if it is not known. */
    private static int weight(RelayPlan.Peer relay) {
        return Math.max(1, relay.linkMbps());
    }
}
