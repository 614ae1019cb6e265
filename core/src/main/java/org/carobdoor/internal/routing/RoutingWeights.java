package org.carobdoor.internal.routing;

/**
 * The score weights of an {@link AffinityRouter}. All terms of the score are in output tokens.
 *
 * @param loadBound multiple of the mean load above which the cache of an endpoint is ignored
 * @param slackTokens constant added to the load bound, so that cached prefixes are used when the
 *     mean load is close to zero
 * @param loadWeight weight of an outstanding token relative to the cost of recomputing prompt
 *     tokens, both in output tokens
 * @param zoneTokens penalty for an endpoint in another availability zone
 * @param priceTokens penalty for the most expensive candidate in the lowest priority class, scaled
 *     down by price and priority; class 1 ignores the price
 */
public record RoutingWeights(
        double loadBound,
        double slackTokens,
        double loadWeight,
        double zoneTokens,
        double priceTokens) {

    /**
     * Returns the default weights, chosen from the measurements in {@code
     * docs/measurements/policy.md}.
     */
    public static RoutingWeights defaults() {
        return new RoutingWeights(1.25, 600, 0.2, 2, 8);
    }
}
