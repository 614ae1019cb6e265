package org.carobdoor.internal.rollout;

/**
 * A cumulative sum of log likelihood ratios, which rises while the fraction of bad answers is
 * nearer to a bad version's than to a good one's. It does not fall below zero, so that a version
 * that was good for long and turns bad is found as soon as one that is bad at once.
 */
final class SequentialTest {
    private static final double MAX_PROBABILITY = 0.98;

    private final double threshold;
    private final double difference;
    private double sum;

    /**
     * Creates a test.
     *
     * @param difference how much more answers of a bad version are bad
     * @param threshold the sum from which the version counts as bad
     */
    SequentialTest(double difference, double threshold) {
        this.difference = difference;
        this.threshold = threshold;
    }

    /**
     * Adds answers.
     *
     * @param goodFraction the highest fraction of bad answers that a good version has
     */
    void add(long bad, long good, double goodFraction) {
        double p0 = Math.min(goodFraction, MAX_PROBABILITY - 0.01);
        double p1 = Math.min(p0 + difference, MAX_PROBABILITY);
        double change = bad * Math.log(p1 / p0) + good * Math.log((1 - p1) / (1 - p0));
        sum = Math.max(0, sum + change);
    }

    boolean isBad() {
        return sum >= threshold;
    }

    /** Returns whether the evidence does not allow to call the version good either. */
    boolean isDoubtful() {
        return sum >= threshold / 2;
    }
}
