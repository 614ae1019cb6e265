package org.carobdoor.internal.routing;

/**
 * How an {@link AffinityRouter} weighs what it knows. All terms of the score are in output tokens.
 *
 * @param loadBound endpoints with more than this multiple of the mean load are not chosen for their
 *     cache
 * @param slackTokens load above the mean that is always allowed, so that a cached prefix is used
 *     when almost nothing is outstanding
 * @param loadWeight how much an outstanding token counts against a prompt token that must be
 *     computed again, both in output tokens
 * @param zoneTokens what an endpoint in another availability zone counts in addition
 * @param priceTokens what the dearest endpoint counts more than one at no price, for the lowest
 *     class; class 1 ignores the price
 */
public record RoutingWeights(
        double loadBound,
        double slackTokens,
        double loadWeight,
        double zoneTokens,
        double priceTokens) {

    /** Returns the weights that the measurements in {@code docs/measurements/policy.md} support. */
    public static RoutingWeights defaults() {
        return new RoutingWeights(1.25, 600, 0.2, 2, 8);
    }
}
