/** Tests of limits. */
@NullMarked
package org.carobdoor.internal.limits;

import org.jspecify.annotations.NullMarked;
