package org.carobdoor.message;

import java.util.Map;
import org.carobdoor.EndpointId;

/**
 * Reports the outstanding tokens of a node at a selection of endpoints, preferring those with the
 * largest changes.
 *
 * @param outstandingTokens tokens outstanding by endpoint
 */
public record LoadReport(Map<EndpointId, Long> outstandingTokens) implements LoadMessage {

    /** Copies the map. */
    public LoadReport {
        outstandingTokens = Map.copyOf(outstandingTokens);
    }
}
