package org.carobdoor.node.admission;

/** Whether a request is served. */
public sealed interface GateDecision {

    /**
     * The request is served.
     *
     * @param scope accounts for it; to be closed when the request is over
     */
    record Open(RequestScope scope) implements GateDecision {}

    /**
     * The request is shed for lack of capacity.
     *
     * @param detail why
     */
    record Shed(String detail) implements GateDecision {}

    /**
     * A limit of the entry is reached.
     *
     * @param limit the name of the limit
     */
    record LimitReached(String limit) implements GateDecision {}
}
