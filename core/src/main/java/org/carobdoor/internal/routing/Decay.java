package org.carobdoor.internal.routing;

/** Exponential decay of loads that nobody confirms any more. */
final class Decay {
    private Decay() {}

    /** Returns what is left of {@code value} after {@code ageMillis}. */
    static double apply(double value, long ageMillis, long halfLifeMillis) {
        return value == 0 || ageMillis == 0
                ? value
                : value * Math.exp(-Math.log(2) * ageMillis / halfLifeMillis);
    }
}
