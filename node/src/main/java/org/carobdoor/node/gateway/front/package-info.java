/** Servers for callers, for the platform's readiness checks, and for metrics. */
@NullMarked
package org.carobdoor.node.gateway.front;

import org.jspecify.annotations.NullMarked;
