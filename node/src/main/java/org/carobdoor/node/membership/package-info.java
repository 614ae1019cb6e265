/** Drives the membership state machine over the probe transport. */
@NullMarked
package org.carobdoor.node.membership;

import org.jspecify.annotations.NullMarked;
