package org.carobdoor.internal.routing;

/** Computes the cost of the prompt of a request at an endpoint. */
@FunctionalInterface
interface PromptCost {

    /** Returns the cost in output tokens. */
    long of(EndpointSnapshot endpoint);
}
