package org.carobdoor.node.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Member;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Rendezvous;

/**
 * Selects the nodes that watch the key-value service and the peers that receive a change.
 *
 * <p>The watchers of a zone are the two top-ranked live nodes by rendezvous hashing among those
 * that reach the platform, or among all its live nodes if none does.
 */
final class PropagationPlan {
    private static final int WATCHERS_PER_ZONE = 2;

    private final MembershipView view;

    PropagationPlan(MembershipView view) {
        this.view = view;
    }

    boolean isWatcher() {
        Member self = view.self();
        return watchers(self.zone()).contains(self.id());
    }

    boolean isInOwnZone(NodeId peer) {
        AvailabilityZone own = view.self().zone();
        return view.find(peer).map(m -> m.zone().equals(own)).orElse(false);
    }

    List<NodeId> watchers(AvailabilityZone zone) {
        List<Member> zoneMembers = view.live().stream().filter(m -> m.zone().equals(zone)).toList();
        List<Member> reachable = zoneMembers.stream().filter(Member::platformReachable).toList();
        return Rendezvous.rank(
                        "catalogue/watch/" + zone,
                        reachable.isEmpty() ? zoneMembers : reachable,
                        m -> m.id().value())
                .stream()
                .limit(WATCHERS_PER_ZONE)
                .map(Member::id)
                .toList();
    }

    /** Returns the other live nodes of this node's zone. */
    List<NodeId> zonePeers() {
        Member self = view.self();
        return view.live().stream()
                .filter(m -> m.zone().equals(self.zone()) && !m.id().equals(self.id()))
                .map(Member::id)
                .toList();
    }

    /** Returns the watchers of this node's zone, without this node. */
    List<NodeId> ownWatchers() {
        Member self = view.self();
        return watchers(self.zone()).stream().filter(id -> !id.equals(self.id())).toList();
    }

    /** Returns the watchers of all other zones. */
    List<NodeId> otherWatchers() {
        AvailabilityZone own = view.self().zone();
        Map<AvailabilityZone, Boolean> zones = new TreeMap<>();
        view.live().forEach(m -> zones.put(m.zone(), true));
        List<NodeId> ids = new ArrayList<>();
        zones.keySet().stream().filter(z -> !z.equals(own)).forEach(z -> ids.addAll(watchers(z)));
        return ids;
    }
}
