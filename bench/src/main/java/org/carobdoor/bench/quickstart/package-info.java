/** A guided run of the whole system on one machine. */
@NullMarked
package org.carobdoor.bench.quickstart;

import org.jspecify.annotations.NullMarked;
