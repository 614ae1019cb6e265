package org.carobdoor.internal.capacity;

/**
 * The service times of one endpoint by load, of which older ones count less.
 *
 * <p>This answers endpoints of one service that differ in speed, that slow down long before all
 * slots are in use, and that become slow or fast again within seconds. Times are summed relative to
 * the time expected for the request, so that a long prompt is not taken for a slow endpoint.
 * Without evidence, the endpoint is assumed to have the usual speed at all loads.
 *
 * <p>Not thread-safe.
 */
public final class ServiceTimeModel {
    private static final double HALF_LIFE_NANOS = 1.5e9;

    /** The assumption without evidence counts as much as this number of requests. */
    private static final double PRIOR_REQUESTS = 6;

    /** More recent requests than this in a bucket replace older ones. */
    private static final double MAX_REQUESTS = 16;

    /**
     * An endpoint takes a load well if requests take at most this multiple of the time that they
     * take unloaded.
     */
    private static final double MAX_LOAD_SLOWDOWN = 1.6;

    /**
     * The limit rises by one bucket per this time: higher loads do not occur while the limit is
     * low, so the evidence against them becomes old without being refuted.
     */
    private static final long RAISE_INTERVAL_NANOS = 1_000_000_000L;

    private final double[] counts = new double[LoadBuckets.COUNT];
    private final double[] expected = new double[LoadBuckets.COUNT];
    private final double[] measured = new double[LoadBuckets.COUNT];
    private int limitBucket = LoadBuckets.LAST_WITHIN_SLOTS;
    private long raisedNanos;
    private long decayedNanos;
    private long latestNanos;
    private boolean hasEvidence;

    private ServiceTimeModel(long nowNanos) {
        decayedNanos = nowNanos;
        raisedNanos = nowNanos;
    }

    /** Returns a model without evidence. */
    public static ServiceTimeModel create(long nowNanos) {
        return new ServiceTimeModel(nowNanos);
    }

    /**
     * Adds measured requests. Values that are not positive and finite are ignored.
     *
     * @param bucket the load, see {@link LoadBuckets}
     * @param count the number of requests
     * @param expectedMillis the sum of the times expected at an unloaded endpoint
     * @param measuredMillis the sum of the measured times
     */
    public void add(
            int bucket, double count, double expectedMillis, double measuredMillis, long nowNanos) {
        if (!isValid(bucket, count, expectedMillis, measuredMillis)) {
            return;
        }
        decay(nowNanos);
        counts[bucket] += count;
        expected[bucket] += expectedMillis;
        measured[bucket] += measuredMillis;
        if (counts[bucket] > MAX_REQUESTS) {
            scale(bucket, MAX_REQUESTS / counts[bucket]);
        }
        latestNanos = nowNanos;
        hasEvidence = true;
    }

    /** Returns whether the values can be those of measured requests. */
    static boolean isValid(int bucket, double count, double expectedMs, double measuredMs) {
        return bucket >= 0
                && bucket < LoadBuckets.COUNT
                && count > 0
                && expectedMs > 0
                && measuredMs > 0
                && Double.isFinite(count)
                && Double.isFinite(expectedMs)
                && Double.isFinite(measuredMs);
    }

    private void decay(long nowNanos) {
        long elapsed = nowNanos - decayedNanos;
        if (elapsed <= 0) {
            return;
        }
        double kept = Math.pow(0.5, elapsed / HALF_LIFE_NANOS);
        for (int b = 0; b < LoadBuckets.COUNT; b++) {
            scale(b, kept);
        }
        decayedNanos = nowNanos;
    }

    private void scale(int bucket, double factor) {
        counts[bucket] *= factor;
        expected[bucket] *= factor;
        measured[bucket] *= factor;
    }

    /**
     * Returns the measured time as a multiple of the expected time at low load; NaN with less than
     * {@code minRequests} of evidence.
     */
    double lowLoadFactor(double minRequests, long nowNanos) {
        decay(nowNanos);
        double count = 0;
        double expectedSum = 0;
        double measuredSum = 0;
        for (int b = 0; LoadBuckets.upper(b) <= 0.5; b++) {
            count += counts[b];
            expectedSum += expected[b];
            measuredSum += measured[b];
        }
        return count < minRequests ? Double.NaN : measuredSum / expectedSum;
    }

    /**
     * Returns the current estimate.
     *
     * @param slots the number of requests that the endpoint states to run concurrently
     * @param nominalFactor the measured time as a multiple of the expected time at an unloaded
     *     endpoint of the service with the usual speed
     */
    public LearnedCapacity estimate(int slots, double nominalFactor, long nowNanos) {
        decay(nowNanos);
        double[] factors = factors(nominalFactor);
        updateLimit(factors, nowNanos);
        int limit = (int) Math.round(Math.max(1, slots) * LoadBuckets.upper(limitBucket));
        double evidence = 0;
        for (double count : counts) {
            evidence += count;
        }
        long age = hasEvidence ? Math.max(0, nowNanos - latestNanos) / 1_000_000L : Long.MAX_VALUE;
        return new LearnedCapacity(factors, nominalFactor, Math.max(1, limit), evidence, age);
    }

    /** Each bucket is assumed to be as slow as the one below it until its evidence says more. */
    private double[] factors(double nominalFactor) {
        double[] factors = new double[LoadBuckets.COUNT];
        double lower = nominalFactor;
        for (int b = 0; b < LoadBuckets.COUNT; b++) {
            double assumed = lower;
            if (b > LoadBuckets.LAST_WITHIN_SLOTS) {
                double below = Math.max(1, LoadBuckets.middle(b - 1));
                assumed *= LoadBuckets.middle(b) / below;
            }
            double mean = counts[b] > 0 ? expected[b] / counts[b] : 1;
            double prior = PRIOR_REQUESTS * mean;
            factors[b] = (measured[b] + prior * assumed) / (expected[b] + prior);
            lower = factors[b];
        }
        return factors;
    }

    private void updateLimit(double[] factors, long nowNanos) {
        int knee = 0;
        while (knee < LoadBuckets.LAST_WITHIN_SLOTS
                && factors[knee + 1] <= MAX_LOAD_SLOWDOWN * factors[0]) {
            knee++;
        }
        if (knee <= limitBucket) {
            raisedNanos = knee < limitBucket ? nowNanos : raisedNanos;
            limitBucket = knee;
        } else if (nowNanos - raisedNanos >= RAISE_INTERVAL_NANOS) {
            limitBucket++;
            raisedNanos = nowNanos;
        }
    }
}
