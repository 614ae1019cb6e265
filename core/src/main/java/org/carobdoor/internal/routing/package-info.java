/**
 * What this node knows of endpoints, and the choice of one for a request.
 *
 * <p>{@link org.carobdoor.internal.routing.EndpointView} is the shared state. A {@link
 * org.carobdoor.internal.routing.Router} works on a private copy of it and obtains a {@link
 * org.carobdoor.internal.routing.Reservation}, which checks the shared state again.
 */
@NullMarked
package org.carobdoor.internal.routing;

import org.jspecify.annotations.NullMarked;
