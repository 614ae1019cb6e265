/**
 * Limits per entry and account: a home node grants each node an allotment of every limit, and a
 * node that cannot reach the home node uses a small share without it.
 *
 * <p>{@link org.carobdoor.internal.limits.OvershootBound} states by how much a limit can be
 * exceeded.
 */
@NullMarked
package org.carobdoor.internal.limits;

import org.jspecify.annotations.NullMarked;
