package org.carobdoor.node.claims;

import java.util.List;
import org.carobdoor.Member;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Rendezvous;

/**
 * Finds the owners of claim logs by rendezvous hashing over the nodes that can reach the platform.
 */
final class LogOwners {
    /**
     * The second-ranked node also serves a log, so that a node that cannot reach the first can
     * still make claims. Two owners at once are slower than one, but safe.
     */
    private static final int SERVING_NODES = 2;

    private final MembershipView membership;

    LogOwners(MembershipView membership) {
        this.membership = membership;
    }

    /** Returns the nodes that serve {@code log}, in the order in which they should be queried. */
    List<NodeId> servingNodes(int log) {
        List<Member> live = membership.live();
        List<Member> reachable = live.stream().filter(Member::platformReachable).toList();
        // Reported reachability is seconds old, so if no node reports reaching the platform, all
        // live nodes are candidates.
        List<Member> candidates = reachable.isEmpty() ? live : reachable;
        return Rendezvous.rank("claims/" + log, candidates, m -> m.id().value()).stream()
                .limit(SERVING_NODES)
                .map(Member::id)
                .toList();
    }

    boolean isServing(int log) {
        return servingNodes(log).contains(membership.self().id());
    }

    boolean isPrimary(int log) {
        return servingNodes(log).indexOf(membership.self().id()) == 0;
    }
}
