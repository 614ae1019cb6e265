/** Measures membership at sizes up to that of the design page, on a simulated clock. */
@NullMarked
package org.carobdoor.bench.membership;

import org.jspecify.annotations.NullMarked;
