package org.carobdoor.message;

import java.util.Map;
import org.carobdoor.EndpointId;

/**
 * Reports the tokens that a node has outstanding at endpoints, for those where the number changed.
 *
 * @param outstandingTokens tokens outstanding by endpoint
 */
public record LoadReport(Map<EndpointId, Long> outstandingTokens) implements LoadMessage {

    /** Copies the map. */
    public LoadReport {
        outstandingTokens = Map.copyOf(outstandingTokens);
    }
}
