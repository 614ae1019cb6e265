package org.carobdoor.internal.capacity;

import java.util.Arrays;

/**
 * What the evidence says of one endpoint.
 *
 * <p>Immutable, and computed a few times per second, so that a decision only reads it.
 */
public final class LearnedCapacity {
    private final double[] timeFactors;
    private final double nominalFactor;
    private final int limit;
    private final double evidence;
    private final long ageMillis;

    /**
     * Creates an estimate.
     *
     * @param timeFactors the measured time as a multiple of the expected time, by load bucket
     * @param nominalFactor the same for an unloaded endpoint of the service with the usual speed
     * @param limit the number of concurrent requests that the endpoint takes well
     * @param evidence the number of measured requests that the estimate is based on, of which older
     *     ones count less
     * @param ageMillis the age of the latest evidence; {@link Long#MAX_VALUE} without evidence
     */
    LearnedCapacity(
            double[] timeFactors,
            double nominalFactor,
            int limit,
            double evidence,
            long ageMillis) {
        this.timeFactors = timeFactors;
        this.nominalFactor = nominalFactor;
        this.limit = limit;
        this.evidence = evidence;
        this.ageMillis = ageMillis;
    }

    /** Returns the estimate for an endpoint without evidence. */
    public static LearnedCapacity nominal(int slots) {
        double[] factors = new double[LoadBuckets.COUNT];
        Arrays.setAll(factors, b -> Math.max(1, LoadBuckets.middle(b)));
        return new LearnedCapacity(factors, 1, Math.max(1, slots), 0, Long.MAX_VALUE);
    }

    /**
     * Returns the expected time as a multiple of the time stated for the request, at {@code load}
     * running requests relative to the slots.
     */
    public double timeFactor(double load) {
        int bucket = LoadBuckets.of(load);
        double middle = LoadBuckets.middle(bucket);
        int next = load < middle ? bucket - 1 : bucket + 1;
        if (next < 0) {
            return timeFactors[0];
        }
        if (next >= LoadBuckets.COUNT) {
            // Beyond the last bucket the requests wait for each other.
            return timeFactors[bucket] * Math.max(1, load / middle);
        }
        double part = (load - middle) / (LoadBuckets.middle(next) - middle);
        return timeFactors[bucket] + part * (timeFactors[next] - timeFactors[bucket]);
    }

    /** Returns the expected time of an unloaded request as a multiple of the time stated for it. */
    public double unloadedFactor() {
        return timeFactors[0];
    }

    /**
     * Returns the time of an unloaded request as a multiple of the usual one of the service; 1 for
     * an endpoint with the usual speed.
     */
    public double slowdown() {
        return timeFactors[0] / nominalFactor;
    }

    /** Returns the number of concurrent requests that the endpoint takes well. */
    public int limit() {
        return limit;
    }

    /** Returns the number of measured requests behind the estimate; older ones count less. */
    public double evidence() {
        return evidence;
    }

    /** Returns the age of the latest evidence; {@link Long#MAX_VALUE} without evidence. */
    public long ageMillis() {
        return ageMillis;
    }
}
