package org.carobdoor.internal.request;

import java.util.Optional;
import java.util.OptionalInt;
import org.carobdoor.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * What this node adds to a caller's request when it sends it to an endpoint.
 *
 * @param deadlineMillis how long the endpoint may work on it
 * @param account the client account of the caller; null if the request is anonymous
 * @param expected the endpoint that is meant; another one at its address must refuse
 * @param urgency the rank among the requests of an engine, 0 is first; empty for a plain service
 * @param resumeAfter the last event that the caller has, if the endpoint is to continue a stream
 */
public record EndpointRequest(
        long deadlineMillis,
        @Nullable String account,
        EndpointId expected,
        OptionalInt urgency,
        Optional<String> resumeAfter) {}
