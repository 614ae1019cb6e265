package org.carobdoor.bench.faults;

/**
 * The time in which an endpoint was leaving, in {@link System#nanoTime}.
 *
 * @param endpoint its id
 * @param acknowledgedNanos when the store had accepted that it is draining or gone; {@link
 *     Long#MAX_VALUE} if the store was not told
 * @param startNanos when it began to leave
 * @param endNanos when it started again
 */
record EndpointLeave(String endpoint, long acknowledgedNanos, long startNanos, long endNanos) {}
