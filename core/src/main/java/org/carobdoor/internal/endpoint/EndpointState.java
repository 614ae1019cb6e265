package org.carobdoor.internal.endpoint;

/** Where an endpoint is in its life. States only move forward. */
public enum EndpointState {
    /** Ordered, not yet able to serve. */
    STARTING,
    /** Able to serve. */
    LIVE,
    /** Announced to be reclaimed or stopped. */
    LEAVING,
    /** No longer there. */
    GONE
}
