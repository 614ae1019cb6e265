/**
 * The operator's configuration as the nodes use it: routes, services, client accounts and the
 * limits on what a caller may send.
 */
@NullMarked
package org.carobdoor.internal.deployment;

import org.jspecify.annotations.NullMarked;
