/**
 * Which VMs to order. Decisions only: {@link org.carobdoor.internal.fleet.FleetPlanner} returns the
 * calls to make.
 */
@NullMarked
package org.carobdoor.internal.fleet;

import org.jspecify.annotations.NullMarked;
