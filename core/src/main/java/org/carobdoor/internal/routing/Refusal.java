package org.carobdoor.internal.routing;

/** Why an endpoint did not accept a request. */
public enum Refusal {
    /** The endpoint reported that it is stopping. It never returns to routing. */
    LEAVING,
    /** The endpoint reported that it has no free capacity. */
    OVERLOADED,
    /** No connection to the endpoint could be opened. */
    UNREACHABLE
}
