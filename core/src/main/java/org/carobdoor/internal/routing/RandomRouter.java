package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Baseline: chooses uniformly at random. */
public final class RandomRouter implements Router {
    private final RouteTable table;

    private RandomRouter(RouteTable table) {
        this.table = table;
    }

    /** Returns a router over {@code view}. */
    public static RandomRouter create(
            EndpointView view, InstantSource clock, RandomGenerator random) {
        return new RandomRouter(new RouteTable(view, clock, random));
    }

    @Override
    public Optional<Reservation> route(RouteRequest request) {
        return table.route(
                request,
                image -> request.promptCost(0),
                (candidates, r, now, random) -> random.nextInt(candidates.size()));
    }
}
