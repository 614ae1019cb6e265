/** Load generators, simulated experiments and benchmarks. */
@NullMarked
package org.carobdoor.bench;

import org.jspecify.annotations.NullMarked;
