package org.carobdoor.bench.faults;

import org.jspecify.annotations.Nullable;

/**
 * A request to the plain service, as its caller saw it.
 *
 * @param id the request's id
 * @param node the node that it was sent to
 * @param safe whether it may run more than once
 * @param sentNanos when it was sent, in {@link System#nanoTime}
 * @param endedNanos when its response had arrived or its connection had broken
 * @param answer the response; null if the connection broke
 */
record PlainExchange(
        String id,
        String node,
        boolean safe,
        long sentNanos,
        long endedNanos,
        @Nullable CallerAnswer answer) {}
