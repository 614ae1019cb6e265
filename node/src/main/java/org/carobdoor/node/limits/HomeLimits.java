package org.carobdoor.node.limits;

import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.Member;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Rendezvous;
import org.carobdoor.internal.limits.HomeStartTracker;
import org.carobdoor.internal.limits.LimitHome;
import org.carobdoor.internal.limits.LimitKind;
import org.carobdoor.internal.limits.SlotHome;
import org.carobdoor.message.AllotmentReply;
import org.carobdoor.message.AllotmentRequest;

/** Grants allotments of the limits for which this node is the home node. */
final class HomeLimits {
    private final MembershipView membership;
    private final InstantSource clock;
    private final LimitLookup limits;
    private final HomeStartTracker homeStartTracker;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<LimitName, LimitHome> rates = new HashMap<>();
    private final Map<LimitName, SlotHome> slots = new HashMap<>();
    private final Set<NodeId> knownLive = new HashSet<>();

    HomeLimits(MembershipView membership, InstantSource clock, LimitLookup limits) {
        this.membership = membership;
        this.clock = clock;
        this.limits = limits;
        this.homeStartTracker = new HomeStartTracker(membership.self().id(), clock.instant());
    }

    /** Returns the home node of a limit according to the membership view of this node. */
    NodeId homeOf(LimitName name) {
        List<Member> ranked =
                Rendezvous.rank(name.toString(), membership.live(), m -> m.id().value());
        return ranked.isEmpty() ? membership.self().id() : ranked.get(0).id();
    }

    /** Handles a request for an allotment of a limit. */
    AllotmentReply grant(NodeId from, AllotmentRequest request) {
        Optional<LimitName> name = LimitName.parse(request.limit());
        NodeId self = membership.self().id();
        if (name.isEmpty() || !homeOf(name.get()).equals(self)) {
            return new AllotmentReply(request.limit(), 0, Instant.EPOCH);
        }
        long amount = limits.find(name.get().entry()).map(name.get()::amount).orElse(0L);
        lock.lock();
        try {
            return grant(from, name.get(), request, amount);
        } finally {
            lock.unlock();
        }
    }

    private AllotmentReply grant(
            NodeId from, LimitName name, AllotmentRequest request, long amount) {
        recordDepartures();
        if (amount == 0) {
            rates.remove(name);
            slots.remove(name);
            return new AllotmentReply(request.limit(), 0, Instant.EPOCH);
        }
        Instant now = clock.instant();
        Instant since = homeStartTracker.since(request.limit());
        return name.kind() == LimitKind.MAX_IN_FLIGHT
                ? slots.computeIfAbsent(name, n -> new SlotHome())
                        .grant(from, request, amount, since, now)
                : rates.computeIfAbsent(name, n -> new LimitHome(name.kind(), now))
                        .grant(request, amount, since, now);
    }

    /** Records which nodes have left. Must be called after membership changes. */
    void refresh() {
        lock.lock();
        try {
            recordDepartures();
        } finally {
            lock.unlock();
        }
    }

    private void recordDepartures() {
        Set<NodeId> current = new HashSet<>();
        membership.live().forEach(member -> current.add(member.id()));
        knownLive.stream()
                .filter(node -> !current.contains(node))
                .forEach(node -> homeStartTracker.onDeparture(node, clock.instant()));
        knownLive.clear();
        knownLive.addAll(current);
    }
}
