package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Baseline: chooses the endpoint with the fewest outstanding tokens. */
public final class LeastOutstandingRouter implements Router {
    private final RouteTable table;

    private LeastOutstandingRouter(RouteTable table) {
        this.table = table;
    }

    /** Returns a router over {@code view}. */
    public static LeastOutstandingRouter create(
            EndpointView view, InstantSource clock, RandomGenerator random) {
        return new LeastOutstandingRouter(new RouteTable(view, clock, random));
    }

    @Override
    public Optional<Reservation> route(RouteRequest request) {
        return table.route(
                request,
                image -> request.promptCost(0),
                (candidates, r, now, random) -> least(candidates, now, random));
    }

    private static int least(List<EndpointSnapshot> candidates, long now, RandomGenerator random) {
        // A random start spreads nodes that see equal loads.
        int start = random.nextInt(candidates.size());
        int best = start;
        double load = candidates.get(start).load(now);
        for (int k = 1; k < candidates.size(); k++) {
            int i = (start + k) % candidates.size();
            double other = candidates.get(i).load(now);
            if (other < load) {
                best = i;
                load = other;
            }
        }
        return best;
    }
}
