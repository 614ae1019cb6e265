package org.carobdoor.internal.endpoint;

/** The lifecycle state of an endpoint. States only advance, in the order of declaration. */
public enum EndpointState {
    /** The VM was ordered and cannot serve requests yet. */
    STARTING,
    /** The endpoint can serve requests. */
    LIVE,
    /** A reclaim or stop was announced. */
    LEAVING,
    /** The VM no longer exists. */
    GONE
}
