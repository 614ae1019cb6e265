package org.carobdoor.internal.routing;

import java.time.Instant;

/**
 * The load reported by an engine, which covers the requests of all nodes.
 *
 * @param outstandingTokens tokens that the engine still has to process, in the unit of {@link
 *     RouteRequest}
 * @param requests running and queued requests
 * @param measuredAt time of the measurement, which is earlier than the arrival of the report
 */
public record EngineLoad(long outstandingTokens, int requests, Instant measuredAt) {}
