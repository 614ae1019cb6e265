package org.carobdoor.internal.limits;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.message.AllotmentReply;
import org.carobdoor.message.AllotmentRequest;

/**
 * Grants slots for requests in flight at the home node of a limit.
 *
 * <p>A request for slots replaces the slots that its node held. Slots expire unless they are
 * renewed. A new home grants nothing until the slots that its predecessor granted have expired. Not
 * thread-safe.
 */
public final class SlotHome {
    private record Slots(long count, Instant until) {}

    private final Map<NodeId, Slots> held = new HashMap<>();
    private Instant since = Instant.MIN;

    /**
     * Grants {@code from} as many of the requested slots as are not held by other nodes.
     *
     * @param limit the limit in force
     * @param homeSince since when this node has been the home
     */
    public AllotmentReply grant(
            NodeId from, AllotmentRequest request, long limit, Instant homeSince, Instant now) {
        if (!homeSince.equals(since)) {
            since = homeSince;
            held.clear();
        }
        Instant grantsFrom = since.plus(LimitKind.MAX_IN_FLIGHT.window());
        Instant until = now.plus(LimitKind.MAX_IN_FLIGHT.window());
        if (now.isBefore(grantsFrom)) {
            return new AllotmentReply(request.limit(), 0, Instant.EPOCH);
        }
        held.values().removeIf(slots -> !slots.until().isAfter(now));
        held.remove(from);
        long others = held.values().stream().mapToLong(Slots::count).sum();
        long grant = Math.max(0, Math.min(request.wanted(), limit - others));
        if (grant > 0) {
            held.put(from, new Slots(grant, until));
        }
        Preconditions.checkInvariant(
                grant == 0 || others + grant <= limit, "slots exceed the limit");
        return new AllotmentReply(request.limit(), grant, until);
    }
}
