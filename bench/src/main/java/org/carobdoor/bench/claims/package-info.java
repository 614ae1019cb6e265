/** Benchmarks the claims that protect non-repeatable calls. */
@NullMarked
package org.carobdoor.bench.claims;

import org.jspecify.annotations.NullMarked;
