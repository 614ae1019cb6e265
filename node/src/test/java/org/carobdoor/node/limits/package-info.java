/** Tests of limits. */
@NullMarked
package org.carobdoor.node.limits;

import org.jspecify.annotations.NullMarked;
