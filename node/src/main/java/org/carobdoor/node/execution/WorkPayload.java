package org.carobdoor.node.execution;

import org.carobdoor.node.model.ModelRequest;

/** The payload of an accepted request. */
public sealed interface WorkPayload {

    /**
     * A request to a language model.
     *
     * @param request the validated request
     */
    record Model(ModelRequest request) implements WorkPayload {}

    /**
     * A call to a plain service.
     *
     * @param call the call
     */
    record Service(SubmittedServiceCall call) implements WorkPayload {}
}
