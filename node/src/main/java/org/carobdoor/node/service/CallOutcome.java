package org.carobdoor.node.service;

import org.carobdoor.Failure;
import org.carobdoor.node.endpoint.ServiceAnswer;

/** The outcome of a call to a plain service. */
public sealed interface CallOutcome {

    /**
     * An endpoint returned an answer.
     *
     * @param answer the answer of the endpoint
     */
    record Answered(ServiceAnswer answer) implements CallOutcome {}

    /**
     * No byte of the call reached an endpoint.
     *
     * @param failure the reason
     */
    record NotRun(Failure failure) implements CallOutcome {}

    /**
     * The call was sent, but its outcome is unknown.
     *
     * @param failure the failure that occurred
     */
    record Unknown(Failure failure) implements CallOutcome {}
}
