package org.carobdoor.internal.rollout;

/** The classes by which answer times are counted: four for each doubling of the time. */
final class LatencyBuckets {
    /** Times from 2^20 ms, about 17 minutes, are in the last bucket. */
    static final int COUNT = 81;

    private static final double BUCKETS_PER_NEPER = 4 / Math.log(2);

    private LatencyBuckets() {}

    static int of(double millis) {
        return Math.clamp((long) (Math.log(Math.max(1, millis)) * BUCKETS_PER_NEPER), 0, COUNT - 1);
    }
}
