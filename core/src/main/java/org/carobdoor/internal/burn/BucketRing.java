package org.carobdoor.internal.burn;

import java.time.Duration;

/** A ring buffer of the counts of the last six hours, in buckets of 30 s. Not thread-safe. */
final class BucketRing {
    private static final long BUCKET_MILLIS = 30_000;
    private static final int BUCKETS = (int) (Window.H6.length().toMillis() / BUCKET_MILLIS) + 1;

    private final int[] good = new int[BUCKETS];
    private final int[] total = new int[BUCKETS];
    private long newest = Long.MIN_VALUE;

    void add(long nowMillis, boolean isGood) {
        long bucket = advance(nowMillis);
        int i = index(bucket);
        total[i]++;
        good[i] += isGood ? 1 : 0;
    }

    /** Returns the sum over whole buckets; the window may therefore start up to 30 s early. */
    RequestCounts sum(long nowMillis, Duration window) {
        long last = advance(nowMillis);
        long n = Math.min(BUCKETS, window.toMillis() / BUCKET_MILLIS + 1);
        RequestCounts out = RequestCounts.ZERO;
        for (long b = last - n + 1; b <= last; b++) {
            out = out.plus(new RequestCounts(good[index(b)], total[index(b)]));
        }
        return out;
    }

    /**
     * Clears the buckets that are reused. If the clock goes back, counts go to the newest bucket.
     */
    private long advance(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        if (newest == Long.MIN_VALUE || bucket - newest > BUCKETS) {
            newest = Math.max(newest, bucket - BUCKETS);
        }
        while (newest < bucket) {
            newest++;
            good[index(newest)] = 0;
            total[index(newest)] = 0;
        }
        return newest;
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
