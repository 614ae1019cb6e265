/** Benchmarks accepted work: messages, bytes, CPU time, memory and latency. */
@NullMarked
package org.carobdoor.bench.work;

import org.jspecify.annotations.NullMarked;
