/** Tests of the limits of a node. */
@NullMarked
package org.carobdoor.node.limits;

import org.jspecify.annotations.NullMarked;
