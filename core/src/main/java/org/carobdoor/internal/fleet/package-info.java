/**
 * Decides which VMs to order and release. The package performs no calls itself: {@link
 * org.carobdoor.internal.fleet.FleetPlanner} returns the actions to perform.
 */
@NullMarked
package org.carobdoor.internal.fleet;

import org.jspecify.annotations.NullMarked;
