package org.carobdoor.standins.gateway;

/** How a {@link StutteringEndpoint} responds to one request. */
public enum EndpointBehavior {
    /** One response, a success. */
    SOUND,
    /** The response twice, both times with the request id. */
    REPEATED,
    /** The response with the request id, and once more without it. */
    REPEATED_UNNAMED,
    /** The response, and one with another status and body; both have the request id. */
    CONTRADICTED,
    /** The response with the request id, and one with another status and body without it. */
    CONTRADICTED_UNNAMED,
    /** 500. */
    FAILED,
    /** 500 without a request id on a reused connection, and then a success that has the id. */
    FAILED_UNNAMED,
    /** 504 at the deadline. */
    HELD,
    /** 504 without a request id on a reused connection, and then a success that has the id. */
    HELD_UNNAMED,
    /** 503, not executed. */
    SHED,
    /** 421, not executed. */
    MISDIRECTED;

    /** Returns whether the request is executed. */
    public boolean isExecuted() {
        return this != SHED && this != MISDIRECTED;
    }

    /** Returns whether another endpoint seems to use the address. */
    public boolean isMisdirected() {
        return this == MISDIRECTED;
    }
}
