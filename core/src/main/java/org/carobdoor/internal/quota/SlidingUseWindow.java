package org.carobdoor.internal.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The units used in a sliding window that ends now, kept in slices that expire one by one. */
final class SlidingUseWindow {
    /** Number of slices of a window; the use of a slice expires all at once. */
    private static final int SLICES = 64;

    private final double[] used = new double[SLICES];
    private final long sliceNanos;
    private final long startNanos;
    private long slice;
    private double total;

    SlidingUseWindow(long windowNanos, long nowNanos) {
        sliceNanos = Math.max(1, windowNanos / (SLICES - 1));
        startNanos = nowNanos;
    }

    /**
     * Advances the window to the given time and returns whether it has advanced by its whole length
     * since the start.
     */
    boolean advance(long nowNanos) {
        long target = (nowNanos - startNanos) / sliceNanos;
        if (target - slice >= SLICES) {
            clear();
            slice = target;
        }
        while (slice < target) {
            slice++;
            int i = index(slice);
            total -= used[i];
            used[i] = 0;
        }
        return target >= SLICES;
    }

    double total() {
        return total;
    }

    /** Returns the use of the last {@code nanos}, rounded to whole slices. */
    double usedInLast(long nanos) {
        double sum = 0;
        long slices = Math.clamp(Math.round((double) nanos / sliceNanos), 1, SLICES);
        for (int i = 0; i < slices; i++) {
            sum += used[index(slice - i)];
        }
        return sum;
    }

    /** Adds use at the current time; a negative number removes use. */
    void add(double units) {
        used[index(slice)] += units;
        total += units;
    }

    /** Adds use spread evenly over the last {@code nanos}, without the part that has expired. */
    void addOverLast(double units, double nanos) {
        long slices = Math.max(1, Math.round(nanos / sliceNanos));
        int kept = (int) Math.min(slices, SLICES);
        for (int i = 0; i < kept; i++) {
            used[index(slice - i)] += units / slices;
            total += units / slices;
        }
    }

    /** Adds use at a time in the past, unless it has expired; a negative number removes use. */
    void addAgo(double units, long nanosAgo) {
        long slices = Math.max(0, nanosAgo) / sliceNanos;
        if (slices < SLICES) {
            used[index(slice - slices)] += units;
            total += units;
        }
    }

    /** Adds use spread evenly over the whole window. */
    void addOverWindow(double units) {
        for (int i = 0; i < SLICES; i++) {
            used[i] += units / SLICES;
        }
        total += units;
    }

    /** Returns the use in {@code count} equal parts of the window, newest first. */
    List<Double> parts(int count) {
        List<Double> parts = new ArrayList<>();
        int perPart = SLICES / count;
        for (int p = 0; p < count; p++) {
            double sum = 0;
            for (int i = 0; i < perPart; i++) {
                sum += used[index(slice - (long) p * perPart - i)];
            }
            parts.add(sum);
        }
        return parts;
    }

    /** Replaces the use by that of {@link #parts}; each part counts as used at its end. */
    void setParts(List<Double> parts) {
        clear();
        int perPart = SLICES / Math.max(1, parts.size());
        for (int p = 0; p < parts.size(); p++) {
            used[index(slice - (long) p * perPart)] += parts.get(p);
            total += parts.get(p);
        }
    }

    void clear() {
        Arrays.fill(used, 0);
        total = 0;
    }

    /** Returns the time until {@code units} of the current use have expired. */
    long nanosUntilExpired(double units) {
        double expired = 0;
        for (int n = 1; n <= SLICES; n++) {
            expired += used[index(slice + n)];
            if (expired >= units) {
                return n * sliceNanos;
            }
        }
        return SLICES * sliceNanos;
    }

    private static int index(long slice) {
        return (int) Math.floorMod(slice, (long) SLICES);
    }
}
