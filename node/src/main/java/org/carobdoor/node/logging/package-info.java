/** Logging configuration of the daemon. */
@NullMarked
package org.carobdoor.node.logging;

import org.jspecify.annotations.NullMarked;
