/** Connections to endpoints, and the table of endpoints with their load. */
@NullMarked
package org.carobdoor.node.gateway.endpoint;

import org.jspecify.annotations.NullMarked;
