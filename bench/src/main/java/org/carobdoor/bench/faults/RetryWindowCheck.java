package org.carobdoor.bench.faults;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Checks the retries of a service against its budget in every window of time: a share of the
 * requests that callers sent, plus a fixed number.
 *
 * <p>The requests are those of the window, of the one before it or of the one half a window before
 * it, whichever has most.
 *
 * @param share the retries that each request adds
 * @param saved the retries that are allowed in a window without requests
 * @param windowNanos the length of a window
 */
record RetryWindowCheck(double share, double saved, long windowNanos) {

    /**
     * A window and the retries in it.
     *
     * @param startNanos its start, in {@link System#nanoTime}
     * @param retries the retries in it
     * @param allowed how many were allowed
     */
    record Window(long startNanos, long retries, double allowed) {
        boolean isOverBudget() {
            return retries > allowed;
        }
    }

    /** Returns the window that is most over the budget, or else closest to it. */
    Optional<Window> worst(List<Long> requestNanos, List<Long> retryNanos) {
        if (retryNanos.isEmpty()) {
            return Optional.empty();
        }
        long origin = retryNanos.get(0);
        long[] requests = relative(requestNanos, origin);
        long[] retries = relative(retryNanos, origin);
        @Nullable Window worst = null;
        for (long retry : retries) {
            for (long start : new long[] {retry, retry - windowNanos + 1}) {
                long count = count(retries, start);
                long counted =
                        Math.max(
                                count(requests, start),
                                Math.max(
                                        count(requests, start - windowNanos),
                                        count(requests, start - windowNanos / 2)));
                double allowed = share * counted + saved;
                if (worst == null || count - allowed > worst.retries - worst.allowed) {
                    worst = new Window(origin + start, count, allowed);
                }
            }
        }
        return Optional.ofNullable(worst);
    }

    private static long[] relative(List<Long> nanos, long origin) {
        return nanos.stream().mapToLong(n -> n - origin).sorted().toArray();
    }

    private long count(long[] times, long start) {
        return firstFrom(times, start + windowNanos) - firstFrom(times, start);
    }

    /** Returns the index of the first time that is not before {@code start}. */
    private static int firstFrom(long[] times, long start) {
        int i = Arrays.binarySearch(times, start);
        if (i < 0) {
            return -i - 1;
        }
        while (i > 0 && times[i - 1] == start) {
            i--;
        }
        return i;
    }
}
