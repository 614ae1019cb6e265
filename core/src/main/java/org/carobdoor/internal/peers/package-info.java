/** Tracking of the runs of other nodes, and the interval of their status messages. */
@NullMarked
package org.carobdoor.internal.peers;

import org.jspecify.annotations.NullMarked;
