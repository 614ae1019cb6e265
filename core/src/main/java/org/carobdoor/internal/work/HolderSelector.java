package org.carobdoor.internal.work;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.carobdoor.Member;
import org.carobdoor.MemberState;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Rendezvous;

/** Selects copy holders by rendezvous hashing of the request id. */
final class HolderSelector {
    private HolderSelector() {}

    /**
     * Returns the highest-ranked live node outside the zone of this node. If there is none, returns
     * the highest-ranked other node of the same zone, or empty.
     */
    static Optional<Member> choose(String requestId, MembershipView view, Set<NodeId> excluded) {
        Optional<Member> outside = outside(requestId, view, excluded);
        Member self = view.self();
        return outside.isPresent()
                ? outside
                : first(requestId, view, excluded, m -> m.zone().equals(self.zone()));
    }

    /** Returns the highest-ranked live node outside the zone of this node. */
    static Optional<Member> outside(String requestId, MembershipView view, Set<NodeId> excluded) {
        Member self = view.self();
        return first(requestId, view, excluded, m -> !m.zone().equals(self.zone()));
    }

    private static Optional<Member> first(
            String requestId, MembershipView view, Set<NodeId> excluded, Predicate<Member> zone) {
        NodeId self = view.self().id();
        List<Member> candidates =
                view.live().stream()
                        .filter(m -> !m.id().equals(self) && !excluded.contains(m.id()))
                        .filter(m -> m.state() == MemberState.ALIVE)
                        .filter(zone)
                        .toList();
        return Rendezvous.rank(requestId, candidates, m -> m.id().value()).stream().findFirst();
    }
}
