package org.carobdoor.message;

import java.util.List;

/**
 * The answers that a node has received from the endpoints of one version of a service, as totals
 * since the start of the node.
 *
 * @param service the service
 * @param version the version of the endpoints
 * @param route the route of the requests
 * @param answers the number of answers, including failures
 * @param failures the number of failures
 * @param latencyCounts the number of answers by the binary logarithm of their time in milliseconds,
 *     in steps of a quarter
 */
public record VersionEvidence(
        String service,
        String version,
        String route,
        long answers,
        long failures,
        List<Long> latencyCounts) {
    /** Copies the list. */
    public VersionEvidence {
        latencyCounts = List.copyOf(latencyCounts);
    }
}
