/** Forwards requests: endpoint selection, sending, retries, and relaying of responses. */
@NullMarked
package org.carobdoor.node.gateway.forward;

import org.jspecify.annotations.NullMarked;
