package org.carobdoor.node.admission;

/** The decision on the admission of a request. */
public sealed interface AdmissionResult {

    /**
     * The request is admitted.
     *
     * @param accounting the accounting of the request, to be closed when the request ends
     */
    record Admitted(RequestAccounting accounting) implements AdmissionResult {}

    /**
     * The request is rejected because of insufficient capacity (load shedding).
     *
     * @param detail the reason
     */
    record Shed(String detail) implements AdmissionResult {}

    /**
     * A limit of the entry has been reached.
     *
     * @param limit the name of the limit
     */
    record LimitReached(String limit) implements AdmissionResult {}
}
