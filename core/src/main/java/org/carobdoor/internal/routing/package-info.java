/**
 * The state of endpoints known to a node, and the routing of requests to them.
 *
 * <p>{@link org.carobdoor.internal.routing.EndpointView} holds the shared state. A {@link
 * org.carobdoor.internal.routing.Router} decides on a private copy of it and obtains a {@link
 * org.carobdoor.internal.routing.Reservation}, which validates the decision against the shared
 * state.
 */
@NullMarked
package org.carobdoor.internal.routing;

import org.jspecify.annotations.NullMarked;
