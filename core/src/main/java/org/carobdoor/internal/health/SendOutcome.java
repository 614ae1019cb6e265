package org.carobdoor.internal.health;

/** How a request that was sent to an endpoint ended, as far as it tells about the endpoint. */
public enum SendOutcome {
    /** The endpoint answered, whatever the status, other than with a failure of its own. */
    ANSWERED,

    /** The endpoint answered with a failure of its own (a 5xx status). */
    FAILED,

    /** The endpoint refused the request without running it. */
    REJECTED,

    /** The connection broke, or what arrived was not an answer to the request. */
    BROKEN,

    /** No answer arrived in the time that answers of this service take. */
    TIMED_OUT,

    /** No connection could be opened. */
    UNREACHABLE
}
