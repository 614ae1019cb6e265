/**
 * Benchmarks membership on a simulated clock, by default up to 380 nodes, the size the design
 * assumes.
 */
@NullMarked
package org.carobdoor.bench.membership;

import org.jspecify.annotations.NullMarked;
