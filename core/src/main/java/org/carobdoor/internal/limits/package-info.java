/**
 * Limits per entry and account. The home node of a limit grants each node an allotment of it; a
 * node that cannot reach the home node uses a small fallback share.
 *
 * <p>{@link org.carobdoor.internal.limits.OvershootBound} states by how much a limit can be
 * exceeded.
 */
@NullMarked
package org.carobdoor.internal.limits;

import org.jspecify.annotations.NullMarked;
