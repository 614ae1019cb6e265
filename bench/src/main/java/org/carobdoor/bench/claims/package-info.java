/** Measures claims of calls that may not be repeated. */
@NullMarked
package org.carobdoor.bench.claims;

import org.jspecify.annotations.NullMarked;
