package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Baseline policy that chooses the endpoint with the fewest outstanding tokens. */
public final class LeastOutstandingRouter implements Router {
    private final EndpointSelector selector;

    private LeastOutstandingRouter(EndpointSelector selector) {
        this.selector = selector;
    }

    /** Returns a router over {@code view}. */
    public static LeastOutstandingRouter create(
            EndpointView view, InstantSource clock, RandomGenerator random) {
        return new LeastOutstandingRouter(new EndpointSelector(view, clock, random));
    }

    @Override
    public Optional<Reservation> route(RouteRequest request) {
        return selector.select(
                request,
                endpoint -> request.promptCost(0),
                (candidates, r, now, random) -> least(candidates, now, random));
    }

    private static int least(List<EndpointSnapshot> candidates, long now, RandomGenerator random) {
        // A random start makes nodes that see equal loads pick different endpoints.
        int start = random.nextInt(candidates.size());
        int best = start;
        double bestLoad = candidates.get(start).load(now);
        for (int offset = 1; offset < candidates.size(); offset++) {
            int i = (start + offset) % candidates.size();
            double load = candidates.get(i).load(now);
            if (load < bestLoad) {
                best = i;
                bestLoad = load;
            }
        }
        return best;
    }
}
