/** Connects the quarantine of requests that crash endpoints to forwarding, peers and the store. */
@NullMarked
package org.carobdoor.node.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
