package org.carobdoor.internal.retries;

/** How an attempt failed, as far as it affects the decision to retry. */
public sealed interface AttemptFailure {

    /** Returns a human-readable description of the failure. */
    String detail();

    /** No byte of the request can have reached the endpoint. */
    record NotSent(String detail) implements AttemptFailure {}

    /** Some or all of the request may have reached the endpoint. */
    record MaybeSent(String detail) implements AttemptFailure {}

    /** The endpoint answered that the request is invalid; another attempt would fail as well. */
    record Rejected(String detail) implements AttemptFailure {}
}
