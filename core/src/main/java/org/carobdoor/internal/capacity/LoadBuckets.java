package org.carobdoor.internal.capacity;

/**
 * The degrees of load by which service times are summed: the running requests relative to the
 * slots. The buckets are part of the messages between nodes.
 */
public final class LoadBuckets {
    /** Number of buckets. */
    public static final int COUNT = 7;

    private static final double[] UPPER = {0.25, 0.5, 0.75, 1, 1.5, 2.5, 4};
    private static final double[] MIDDLE = {0.125, 0.375, 0.625, 0.875, 1.25, 2, 3.25};

    /** The highest bucket in which all requests have a slot. */
    static final int LAST_WITHIN_SLOTS = 3;

    private LoadBuckets() {}

    /**
     * Returns the bucket of {@code load}, where 1 means that all slots are in use. A value that is
     * not a number is in the lowest bucket.
     */
    public static int of(double load) {
        int bucket = 0;
        while (bucket < COUNT - 1 && load > UPPER[bucket]) {
            bucket++;
        }
        return bucket;
    }

    /** Returns the highest load in {@code bucket}. */
    static double upper(int bucket) {
        return UPPER[bucket];
    }

    /** Returns the load in the middle of {@code bucket}. */
    static double middle(int bucket) {
        return MIDDLE[bucket];
    }
}
