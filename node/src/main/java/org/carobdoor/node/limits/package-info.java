/** Enforces the limits of catalogue entries across all nodes. */
@NullMarked
package org.carobdoor.node.limits;

import org.jspecify.annotations.NullMarked;
