package org.carobdoor.internal.routing;

/** Why an endpoint did not take a request. */
public enum Refusal {
    /** It said that it is stopping. It never returns to routing. */
    LEAVING,
    /** It said that it has no capacity at the moment. */
    OVERLOADED,
    /** The connection could not be opened. */
    UNREACHABLE
}
