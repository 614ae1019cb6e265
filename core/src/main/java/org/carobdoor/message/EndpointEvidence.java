package org.carobdoor.message;

import java.util.List;

/**
 * The service times that a node has measured at an endpoint since the start of the node.
 *
 * @param endpoint the identifier of the endpoint
 * @param startedAtMillis when the endpoint started, in milliseconds since the epoch; a restarted
 *     endpoint may keep its identifier
 * @param sums the measured times by load
 */
public record EndpointEvidence(String endpoint, long startedAtMillis, List<ServiceTimeSum> sums) {
    /** Copies the list. */
    public EndpointEvidence {
        sums = List.copyOf(sums);
    }
}
