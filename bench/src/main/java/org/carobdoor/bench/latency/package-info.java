/** Benchmarks the latency, CPU time per token and memory that a node adds. */
@NullMarked
package org.carobdoor.bench.latency;

import org.jspecify.annotations.NullMarked;
