package org.carobdoor.node.execution;

import org.carobdoor.node.model.ModelRequest;

/** What an accepted request asks for. */
public sealed interface WorkPayload {

    /**
     * An answer of a language model.
     *
     * @param request the checked request
     */
    record Model(ModelRequest request) implements WorkPayload {}

    /**
     * A call of a plain service.
     *
     * @param call the call
     */
    record Service(ServiceWork call) implements WorkPayload {}
}
