package org.carobdoor.node.claims;

import java.util.List;
import org.carobdoor.Member;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Rendezvous;

/** Finds the owners of claim logs by rendezvous hashing over the nodes that reach the platform. */
final class LogOwners {
    /**
     * The node that ranks second also serves a log, so that the claims of a node that cannot reach
     * the first one go on. Two owners are slower than one, but safe.
     */
    private static final int SERVING = 2;

    private final MembershipView membership;

    LogOwners(MembershipView membership) {
        this.membership = membership;
    }

    /** Returns the nodes that serve {@code log}, in the order in which they should be asked. */
    List<NodeId> serving(int log) {
        List<Member> live = membership.live();
        List<Member> reaching = live.stream().filter(Member::platformReachable).toList();
        // What nodes report is seconds old, so if nobody reaches the platform the owner tries.
        List<Member> candidates = reaching.isEmpty() ? live : reaching;
        return Rendezvous.rank("claims/" + log, candidates, m -> m.id().value()).stream()
                .limit(SERVING)
                .map(Member::id)
                .toList();
    }

    boolean isServing(int log) {
        return serving(log).contains(membership.self().id());
    }

    boolean isFirst(int log) {
        return serving(log).indexOf(membership.self().id()) == 0;
    }
}
