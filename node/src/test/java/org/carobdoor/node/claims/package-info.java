/** Tests of claims. */
@NullMarked
package org.carobdoor.node.claims;

import org.jspecify.annotations.NullMarked;
