/**
 * The SWIM membership protocol as a state machine without I/O.
 *
 * <p>Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process
 * group membership protocol", 2002; the handling of local pauses follows Dadgar, Phillips and
 * Currey, "Lifeguard: local health awareness for more accurate failure detection", 2018.
 */
@NullMarked
package org.carobdoor.internal.membership;

import org.jspecify.annotations.NullMarked;
