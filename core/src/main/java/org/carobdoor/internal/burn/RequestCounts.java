package org.carobdoor.internal.burn;

/**
 * The number of requests that met their objective, and of all requests.
 *
 * @param good requests that met their objective
 * @param total all requests
 */
public record RequestCounts(long good, long total) {

    /** No requests. */
    public static final RequestCounts ZERO = new RequestCounts(0, 0);

    /** Returns the sum of both counts. */
    public RequestCounts plus(RequestCounts other) {
        return new RequestCounts(good + other.good, total + other.total);
    }

    /**
     * Returns the burn rate: how many times faster than allowed the error budget is used. A rate of
     * 1 uses it up exactly.
     *
     * @param targetPercent the percentage of requests that must meet the objective
     */
    public double burnRate(double targetPercent) {
        if (total == 0 || good == total) {
            return 0;
        }
        double allowed = 1 - targetPercent / 100;
        double missed = (total - good) / (double) total;
        return allowed <= 0 ? Double.POSITIVE_INFINITY : missed / allowed;
    }
}
