/** Set-up of the daemon's log. */
@NullMarked
package org.carobdoor.node.logging;

import org.jspecify.annotations.NullMarked;
