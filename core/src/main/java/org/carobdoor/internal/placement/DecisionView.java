package org.carobdoor.internal.placement;

import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.carobdoor.AvailabilityZone;

/**
 * What a decision by learned capacity depends on besides the endpoints.
 *
 * @param zone the availability zone of this node
 * @param roundTripMillis returns the additional round-trip time to a zone
 * @param newsAgeMillis the usual age of the load that other nodes have reported
 * @param nodes the number of nodes that choose at the same time
 * @param random decides between endpoints, so that nodes with the same news choose differently
 * @param nowNanos the current time
 */
public record DecisionView(
        AvailabilityZone zone,
        ToDoubleFunction<AvailabilityZone> roundTripMillis,
        double newsAgeMillis,
        int nodes,
        RandomGenerator random,
        long nowNanos) {}
