package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/** Baseline policy that chooses the candidates in round-robin order, sorted by id. */
public final class RoundRobinRouter implements Router {
    private final EndpointSelector selector;
    private final AtomicLong nextIndex = new AtomicLong();

    private RoundRobinRouter(EndpointSelector selector) {
        this.selector = selector;
    }

    /** Returns a router over {@code view}. */
    public static RoundRobinRouter create(
            EndpointView view, InstantSource clock, RandomGenerator random) {
        return new RoundRobinRouter(new EndpointSelector(view, clock, random));
    }

    @Override
    public Optional<Reservation> route(RouteRequest request) {
        return selector.select(
                request,
                endpoint -> request.promptCost(0),
                (candidates, r, now, random) -> next(candidates));
    }

    private int next(List<EndpointSnapshot> candidates) {
        candidates.sort(Comparator.comparing(EndpointSnapshot::id));
        return Math.floorMod(nextIndex.getAndIncrement(), candidates.size());
    }
}
