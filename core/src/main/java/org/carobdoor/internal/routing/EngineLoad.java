package org.carobdoor.internal.routing;

import java.time.Instant;

/**
 * The load that an engine reports of itself, which covers the requests of all nodes.
 *
 * @param outstandingTokens tokens it still has to process, in the unit of {@link RouteRequest}
 * @param requests requests that run or wait
 * @param measuredAt when the engine measured them, which is before the report arrives
 */
public record EngineLoad(long outstandingTokens, int requests, Instant measuredAt) {}
