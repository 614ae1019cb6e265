package org.carobdoor.internal.health;

/**
 * The outcome of a request sent to an endpoint, classified by what it indicates about the health of
 * the endpoint.
 */
public enum SendOutcome {
    /** The endpoint answered with any status other than a server error. */
    ANSWERED,

    /** The endpoint answered with a server error (a 5xx status). */
    FAILED,

    /** The endpoint rejected the request without executing it. */
    REJECTED,

    /** The connection broke, or the endpoint sent an invalid response. */
    BROKEN,

    /** No answer arrived within the answer timeout of the service. */
    TIMED_OUT,

    /** No connection could be opened. */
    UNREACHABLE
}
