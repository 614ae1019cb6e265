package org.carobdoor.internal.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/** Selects one of the candidate endpoints of a request. */
@FunctionalInterface
interface SelectionPolicy {

    /** Returns the index of the chosen element of {@code candidates}, which is not empty. */
    int select(
            List<EndpointSnapshot> candidates,
            RouteRequest request,
            long nowMillis,
            RandomGenerator random);
}
