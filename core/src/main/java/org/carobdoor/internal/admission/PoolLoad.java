package org.carobdoor.internal.admission;

/**
 * The load of the endpoints that serve one target.
 *
 * @param outstandingTokens tokens outstanding there, of this node and of others
 * @param endpoints the number of endpoints that take requests
 */
public record PoolLoad(double outstandingTokens, int endpoints) {

    /** Returns the outstanding tokens of an endpoint on average, infinite if there is none. */
    public double perEndpoint() {
        return endpoints == 0 ? Double.POSITIVE_INFINITY : outstandingTokens / endpoints;
    }
}
