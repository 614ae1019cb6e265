package org.carobdoor.internal.deployment;

/** Whether the requests on a route may be repeated. */
public enum RouteKind {
    /** Idempotent requests, which may run more than once. */
    SAFE,

    /** Requests that may run at most once per request of a caller. */
    UNSAFE,

    /**
     * Requests that are answered by a stream of events; they run at most once unless the route is
     * resumable.
     */
    STREAMING
}
