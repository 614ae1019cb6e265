package org.carobdoor.internal.routing;

/** Exponential decay of load reports that have not been refreshed. */
final class ExponentialDecay {
    private ExponentialDecay() {}

    /** Returns {@code value} decayed over {@code ageMillis}. */
    static double apply(double value, long ageMillis, long halfLifeMillis) {
        return value == 0 || ageMillis == 0
                ? value
                : value * Math.exp(-Math.log(2) * ageMillis / halfLifeMillis);
    }
}
