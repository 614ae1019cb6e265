package org.carobdoor.internal.routing;

/** Says what the prompt of a request costs at an endpoint. */
@FunctionalInterface
interface PromptCost {

    /** Returns the cost in output tokens. */
    long of(EndpointSnapshot image);
}
