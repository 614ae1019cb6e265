package org.carobdoor.internal.deployment;

/**
 * The quota of a client account, over all nodes together.
 *
 * @param perSecond the sustained rate, in units per second
 * @param burst the units that may be used at once in addition to the rate
 * @param countsTokens whether the units are tokens; otherwise they are requests
 * @param plainTokens the number of tokens that a request without a prompt counts as
 */
public record QuotaLimit(double perSecond, double burst, boolean countsTokens, long plainTokens) {

    /**
     * Returns the units that a request uses, given the number of tokens of its prompt and answer.
     */
    public double unitsOf(long promptAndAnswerTokens) {
        if (!countsTokens) {
            return 1;
        }
        return promptAndAnswerTokens > 0 ? promptAndAnswerTokens : plainTokens;
    }
}
