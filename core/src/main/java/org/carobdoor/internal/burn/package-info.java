/** How much of each entry's error budget has been used, why, and at what cost. */
@NullMarked
package org.carobdoor.internal.burn;

import org.jspecify.annotations.NullMarked;
