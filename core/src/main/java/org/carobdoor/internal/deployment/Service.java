package org.carobdoor.internal.deployment;

import java.util.Optional;

/**
 * A set of interchangeable endpoints.
 *
 * @param name the operator's name of the service
 * @param healthPath the path of an endpoint's health check
 * @param maxConnections the connections that one endpoint accepts from all callers together
 * @param engine what its engines can do; empty for a plain service
 * @param fleet how its endpoints may be ordered; empty if they may not
 */
public record Service(
        String name,
        String healthPath,
        int maxConnections,
        Optional<EngineTraits> engine,
        Optional<FleetBounds> fleet) {}
