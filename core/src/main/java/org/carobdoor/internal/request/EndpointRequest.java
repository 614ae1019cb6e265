package org.carobdoor.internal.request;

import java.util.Optional;
import java.util.OptionalInt;
import org.carobdoor.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * The data that this node adds to a caller's request when it forwards it to an endpoint.
 *
 * @param deadlineMillis how long the endpoint may work on the request
 * @param account the client account of the caller; null if the request is anonymous
 * @param expected the intended endpoint; a different endpoint at the same address must refuse
 * @param urgency the rank among the requests of an engine, 0 is first; empty for a plain service
 * @param resumeAfter the last event that the caller received, if the endpoint should continue a
 *     stream
 */
public record EndpointRequest(
        long deadlineMillis,
        @Nullable String account,
        EndpointId expected,
        OptionalInt urgency,
        Optional<String> resumeAfter) {}
