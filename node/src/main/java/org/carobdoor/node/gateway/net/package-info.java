/** Outbound connections of a node. */
@NullMarked
package org.carobdoor.node.gateway.net;

import org.jspecify.annotations.NullMarked;
