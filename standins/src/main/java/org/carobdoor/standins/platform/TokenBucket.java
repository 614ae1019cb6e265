package org.carobdoor.standins.platform;

/** Allows a number of calls a second, with a burst of one second's worth and at least one call. */
final class TokenBucket {
    private final double perSecond;
    private final double burst;
    private double available;
    private long lastNanos = System.nanoTime();

    TokenBucket(double perSecond) {
        this.perSecond = perSecond;
        this.burst = Math.max(1, perSecond);
        this.available = burst;
    }

    /** Returns whether one more call is within the limit, and counts it if so. */
    synchronized boolean tryTake() {
        long now = System.nanoTime();
        available = Math.min(burst, available + (now - lastNanos) * perSecond / 1e9);
        lastNanos = now;
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
