package org.carobdoor.internal.deployment;

import java.util.Optional;

/**
 * A set of interchangeable endpoints.
 *
 * @param name the operator's name of the service
 * @param healthPath the path of the health check of an endpoint
 * @param maxConnections the connections that one endpoint accepts in total
 * @param engine the capabilities of its engines; empty for a plain service
 * @param fleet the limits on ordering endpoints; empty if none may be ordered
 */
public record Service(
        String name,
        String healthPath,
        int maxConnections,
        Optional<EngineTraits> engine,
        Optional<FleetBounds> fleet) {}
