/** Structured lines about decisions, bounded in volume. */
@NullMarked
package org.carobdoor.node.gateway.log;

import org.jspecify.annotations.NullMarked;
