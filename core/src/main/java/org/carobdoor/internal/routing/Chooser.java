package org.carobdoor.internal.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/** The part of a router in which the policies differ. */
@FunctionalInterface
interface Chooser {

    /** Returns the index of the chosen element of {@code candidates}, which is not empty. */
    int choose(
            List<EndpointSnapshot> candidates,
            RouteRequest request,
            long nowMillis,
            RandomGenerator random);
}
