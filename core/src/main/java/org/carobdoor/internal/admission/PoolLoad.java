package org.carobdoor.internal.admission;

/**
 * The load of the endpoints that serve one target.
 *
 * @param outstandingTokens tokens outstanding at the endpoints, sent by this node and by others
 * @param endpoints the number of endpoints that accept requests
 */
public record PoolLoad(double outstandingTokens, int endpoints) {

    /**
     * Returns the average number of outstanding tokens per endpoint; infinite if there is no
     * endpoint.
     */
    public double perEndpoint() {
        return endpoints == 0 ? Double.POSITIVE_INFINITY : outstandingTokens / endpoints;
    }
}
