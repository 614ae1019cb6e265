/** The active catalogue entries of the node. */
@NullMarked
package org.carobdoor.node.catalogue;

import org.jspecify.annotations.NullMarked;
