/** Connections that a node opens. */
@NullMarked
package org.carobdoor.node.gateway.net;

import org.jspecify.annotations.NullMarked;
