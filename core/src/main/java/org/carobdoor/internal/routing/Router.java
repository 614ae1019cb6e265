package org.carobdoor.internal.routing;

import java.util.Optional;

/**
 * Chooses an endpoint for a request. Thread-safe.
 *
 * <p>{@link AffinityRouter} is the one in use; the others are baselines to measure it against.
 *
 * <pre>{@code
 * Router router = AffinityRouter.create(view, cache, RoutingWeights.defaults(), clock, random);
 * Optional<Reservation> reservation = router.route(request);
 * }</pre>
 */
public sealed interface Router
        permits AffinityRouter, LeastOutstandingRouter, RandomRouter, RoundRobinRouter {

    /** Reserves a place at an endpoint, or returns empty if none can take the request. */
    Optional<Reservation> route(RouteRequest request);
}
