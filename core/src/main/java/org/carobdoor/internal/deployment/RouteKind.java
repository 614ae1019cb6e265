package org.carobdoor.internal.deployment;

/** What may be repeated of the requests on a route. */
public enum RouteKind {
    /** Idempotent: may run more than once. */
    SAFE,

    /** May run at most once for each request of a caller. */
    UNSAFE,

    /** Answered by a stream of events; runs at most once unless the route can be resumed. */
    STREAMING
}
