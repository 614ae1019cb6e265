package org.carobdoor.internal.capacity;

/**
 * The service times that one node has measured at all endpoints of a service, of which older ones
 * count less. A node that is itself slow measures long times at all of them.
 *
 * <p>Not thread-safe.
 */
final class SenderSpeed {
    private static final double HALF_LIFE_NANOS = 8e9;

    /** The assumption that a node is as fast as the others counts as much as this many requests. */
    private static final double PRIOR_REQUESTS = 8;

    /** A node whose times are longer by less than this is not considered slow. */
    private static final double MIN_SLOW_FACTOR = 1.3;

    private double count;
    private double expected;
    private double measured;
    private long decayedNanos;

    SenderSpeed(long nowNanos) {
        decayedNanos = nowNanos;
    }

    void add(double requests, double expectedMillis, double measuredMillis, long nowNanos) {
        long elapsed = Math.max(0, nowNanos - decayedNanos);
        double kept = Math.pow(0.5, elapsed / HALF_LIFE_NANOS);
        decayedNanos = nowNanos;
        count = count * kept + requests;
        expected = expected * kept + expectedMillis;
        measured = measured * kept + measuredMillis;
    }

    /** Returns the measured time as a multiple of the expected time; 1 without requests. */
    double factor() {
        return expected > 0 ? measured / expected : 1;
    }

    /** Returns by which factor the times of this node are longer than those of all; at least 1. */
    double slownessAgainst(SenderSpeed all) {
        if (expected <= 0) {
            return 1;
        }
        double prior = PRIOR_REQUESTS * expected / count;
        double own = (measured + prior * all.factor()) / (expected + prior);
        double slowness = own / all.factor();
        return slowness < MIN_SLOW_FACTOR ? 1 : slowness;
    }
}
