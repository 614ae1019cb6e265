/** Tests of the claims of a node. */
@NullMarked
package org.carobdoor.node.claims;

import org.jspecify.annotations.NullMarked;
