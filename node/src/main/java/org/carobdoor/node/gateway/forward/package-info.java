/** The way of one request: placement, sending, retries, and the relay of its answer. */
@NullMarked
package org.carobdoor.node.gateway.forward;

import org.jspecify.annotations.NullMarked;
