package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/** Baseline: takes the candidates in turn, in the order of their ids. */
public final class RoundRobinRouter implements Router {
    private final RouteTable table;
    private final AtomicLong turn = new AtomicLong();

    private RoundRobinRouter(RouteTable table) {
        this.table = table;
    }

    /** Returns a router over {@code view}. */
    public static RoundRobinRouter create(
            EndpointView view, InstantSource clock, RandomGenerator random) {
        return new RoundRobinRouter(new RouteTable(view, clock, random));
    }

    @Override
    public Optional<Reservation> route(RouteRequest request) {
        return table.route(
                request,
                image -> request.promptCost(0),
                (candidates, r, now, random) -> next(candidates));
    }

    private int next(List<EndpointSnapshot> candidates) {
        candidates.sort(Comparator.comparing(EndpointSnapshot::id));
        return Math.floorMod(turn.getAndIncrement(), candidates.size());
    }
}
