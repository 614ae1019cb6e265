package org.carobdoor.internal.routing;

import java.util.Optional;

/**
 * Chooses an endpoint for a request. Thread-safe.
 *
 * <p>{@link AffinityRouter} is the production policy; the others are baselines for measurements.
 *
 * <pre>{@code
 * Router router = AffinityRouter.create(view, cache, RoutingWeights.defaults(), clock, random);
 * Optional<Reservation> reservation = router.route(request);
 * }</pre>
 */
public sealed interface Router
        permits AffinityRouter, LeastOutstandingRouter, RandomRouter, RoundRobinRouter {

    /** Reserves capacity at an endpoint, or returns empty if no endpoint can accept the request. */
    Optional<Reservation> route(RouteRequest request);
}
