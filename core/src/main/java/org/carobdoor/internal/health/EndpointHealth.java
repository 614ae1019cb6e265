package org.carobdoor.internal.health;

/**
 * The health of one endpoint as the requests of this node show it.
 *
 * <p>An endpoint is ejected for a while when it cannot be reached, breaks several answers in a row,
 * or fails far more of its requests than the other endpoints of its service. Each further ejection
 * lasts longer; an answered request resets the length. Health checks are not used: they are priced,
 * and an endpoint can pass them while it fails requests.
 *
 * <p>Belongs to one thread.
 */
public final class EndpointHealth {
    private static final double OUTCOME_WEIGHT = 0.15;
    private static final int BROKEN_IN_A_ROW = 2;

    /** Enough outcomes that a service whose requests fail at times is not taken for a bad one. */
    private static final int MIN_OUTCOMES = 8;

    private static final double MIN_FAILURE_RATE = 0.3;

    /** Ratio to the mean failure rate of the service from which an endpoint stands out. */
    private static final double OUTLIER_RATIO = 2;

    private static final long FIRST_EJECTION_NANOS = 400_000_000L;
    private static final long MAX_EJECTION_NANOS = 3_000_000_000L;

    private double failureRate;
    private int outcomes;
    private int brokenInARow;
    private long nextEjectionNanos = FIRST_EJECTION_NANOS;
    private boolean ejected;
    private boolean unreachable;
    private long ejectedUntilNanos;

    /** Returns the health of an endpoint of which nothing is known. */
    public static EndpointHealth create() {
        return new EndpointHealth();
    }

    private EndpointHealth() {}

    /** Returns the recent share of requests that failed, from 0 to 1. */
    public double failureRate() {
        return failureRate;
    }

    /** Returns whether the endpoint is ejected since no connection to it could be opened. */
    public boolean isUnreachable(long nowNanos) {
        return unreachable && isEjected(nowNanos);
    }

    /** Returns whether the endpoint should get no requests now. */
    public boolean isEjected(long nowNanos) {
        return ejected && nowNanos - ejectedUntilNanos < 0;
    }

    /**
     * Applies the outcome of a request.
     *
     * @param serviceFailureRate the mean failure rate of the service's endpoints
     * @return whether the endpoint is ejected by this outcome
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
                brokenInARow = 0;
                nextEjectionNanos = FIRST_EJECTION_NANOS;
                ejected = false;
                unreachable = false;
            }
            case BROKEN, TIMED_OUT -> brokenInARow++;
            case UNREACHABLE -> {
                brokenInARow = BROKEN_IN_A_ROW;
                unreachable = true;
            }
            default -> {
                // A request that failed or was refused shows nothing about the connection.
            }
        }
        boolean outlier =
                outcomes >= MIN_OUTCOMES
                        && failureRate > MIN_FAILURE_RATE
                        && failureRate > OUTLIER_RATIO * serviceFailureRate;
        if (failed && !isEjected(nowNanos) && (outlier || brokenInARow >= BROKEN_IN_A_ROW)) {
            eject(nowNanos);
            return true;
        }
        return false;
    }

    private void eject(long nowNanos) {
        ejected = true;
        ejectedUntilNanos = nowNanos + nextEjectionNanos;
        nextEjectionNanos = Math.min(MAX_EJECTION_NANOS, 2 * nextEjectionNanos);
        brokenInARow = 0;
        outcomes = 0;
    }
}
