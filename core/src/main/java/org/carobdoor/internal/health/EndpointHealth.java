package org.carobdoor.internal.health;

/**
 * Passive outlier detection for one endpoint, based on the outcomes of the requests of this node.
 *
 * <p>An endpoint is temporarily ejected when it cannot be reached, breaks several consecutive
 * answers, or has a much higher failure rate than the other endpoints of its service. The duration
 * doubles with each ejection, up to a maximum, and is reset by an answered request. Active health
 * checks are not used because they are billed, and an endpoint can pass them while it fails
 * requests.
 *
 * <p>Not thread-safe; each instance is confined to one thread.
 */
public final class EndpointHealth {
    private static final double OUTCOME_WEIGHT = 0.15;
    private static final int CONSECUTIVE_BROKEN_LIMIT = 2;

    /** Minimum sample size, so that occasional failures do not mark an endpoint as an outlier. */
    private static final int MIN_OUTCOMES = 8;

    private static final double MIN_FAILURE_RATE = 0.3;

    /** Ratio to the mean failure rate of the service above which an endpoint is an outlier. */
    private static final double OUTLIER_RATIO = 2;

    private static final long FIRST_EJECTION_NANOS = 400_000_000L;
    private static final long MAX_EJECTION_NANOS = 3_000_000_000L;

    private double failureRate;
    private int outcomes;
    private int consecutiveBroken;
    private long nextEjectionNanos = FIRST_EJECTION_NANOS;
    private boolean ejected;
    private boolean unreachable;
    private long ejectedUntilNanos;

    /** Returns the health of an endpoint without recorded outcomes. */
    public static EndpointHealth create() {
        return new EndpointHealth();
    }

    private EndpointHealth() {}

    /** Returns the moving average of the share of failed requests, from 0 to 1. */
    public double failureRate() {
        return failureRate;
    }

    /** Returns whether the endpoint is ejected because no connection to it could be opened. */
    public boolean isUnreachable(long nowNanos) {
        return unreachable && isEjected(nowNanos);
    }

    /** Returns whether the endpoint is ejected and must not receive requests. */
    public boolean isEjected(long nowNanos) {
        return ejected && nowNanos - ejectedUntilNanos < 0;
    }

    /**
     * Records the outcome of a request.
     *
     * @param serviceFailureRate mean failure rate of the endpoints of the service
     * @return whether this outcome ejects the endpoint
     */
    public boolean record(SendOutcome outcome, double serviceFailureRate, long nowNanos) {
        boolean failed =
                switch (outcome) {
                    case ANSWERED -> false;
                    case FAILED, REJECTED, BROKEN, TIMED_OUT, UNREACHABLE -> true;
                };
        failureRate += OUTCOME_WEIGHT * ((failed ? 1 : 0) - failureRate);
        outcomes++;
        switch (outcome) {
            case ANSWERED -> {
                consecutiveBroken = 0;
                nextEjectionNanos = FIRST_EJECTION_NANOS;
                ejected = false;
                unreachable = false;
            }
            case BROKEN, TIMED_OUT -> consecutiveBroken++;
            case UNREACHABLE -> {
                consecutiveBroken = CONSECUTIVE_BROKEN_LIMIT;
                unreachable = true;
            }
            default -> {
                // A failed or rejected request says nothing about the connection.
            }
        }
        boolean outlier =
                outcomes >= MIN_OUTCOMES
                        && failureRate > MIN_FAILURE_RATE
                        && failureRate > OUTLIER_RATIO * serviceFailureRate;
        if (failed
                && !isEjected(nowNanos)
                && (outlier || consecutiveBroken >= CONSECUTIVE_BROKEN_LIMIT)) {
            eject(nowNanos);
            return true;
        }
        return false;
    }

    private void eject(long nowNanos) {
        ejected = true;
        ejectedUntilNanos = nowNanos + nextEjectionNanos;
        nextEjectionNanos = Math.min(MAX_EJECTION_NANOS, 2 * nextEjectionNanos);
        consecutiveBroken = 0;
        outcomes = 0;
    }
}
