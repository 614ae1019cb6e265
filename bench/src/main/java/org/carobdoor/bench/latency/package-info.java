/** Measures what a node adds: latency, processor time per token, and memory. */
@NullMarked
package org.carobdoor.bench.latency;

import org.jspecify.annotations.NullMarked;
