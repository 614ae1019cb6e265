/** Measures what accepted work costs: messages, bytes, processor time, memory and latency. */
@NullMarked
package org.carobdoor.bench.work;

import org.jspecify.annotations.NullMarked;
