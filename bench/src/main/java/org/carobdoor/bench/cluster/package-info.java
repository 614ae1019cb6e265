/** Runs daemons and stand-ins as separate processes on the loopback address. */
@NullMarked
package org.carobdoor.bench.cluster;

import org.jspecify.annotations.NullMarked;
