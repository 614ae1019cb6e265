/** The connections of callers and of the platform's readiness checks. */
@NullMarked
package org.carobdoor.node.gateway.front;

import org.jspecify.annotations.NullMarked;
