package org.carobdoor.node.service;

import org.carobdoor.Failure;
import org.carobdoor.node.endpoint.ServiceAnswer;

/** What became of a call of a plain service. */
public sealed interface CallOutcome {

    /**
     * An endpoint answered.
     *
     * @param answer its answer
     */
    record Answered(ServiceAnswer answer) implements CallOutcome {}

    /**
     * No byte of the call reached an endpoint.
     *
     * @param failure why
     */
    record NotRun(Failure failure) implements CallOutcome {}

    /**
     * The call was sent and its outcome is not known.
     *
     * @param failure what happened
     */
    record Unknown(Failure failure) implements CallOutcome {}
}
