/** The Prometheus metrics of the daemon. */
@NullMarked
package org.carobdoor.node.metrics;

import org.jspecify.annotations.NullMarked;
