package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Baseline policy that chooses an endpoint uniformly at random. */
public final class RandomRouter implements Router {
    private final EndpointSelector selector;

    private RandomRouter(EndpointSelector selector) {
        this.selector = selector;
    }

    /** Returns a router over {@code view}. */
    public static RandomRouter create(
            EndpointView view, InstantSource clock, RandomGenerator random) {
        return new RandomRouter(new EndpointSelector(view, clock, random));
    }

    @Override
    public Optional<Reservation> route(RouteRequest request) {
        return selector.select(
                request,
                endpoint -> request.promptCost(0),
                (candidates, r, now, random) -> random.nextInt(candidates.size()));
    }
}
