package org.carobdoor.standins.platform;

/** A rate limiter whose burst is the number of calls allowed in one second, but at least one. */
final class TokenBucket {
    private final double tokensPerSecond;
    private final double burst;
    private double availableTokens;
    private long lastRefillNanos = System.nanoTime();

    TokenBucket(double tokensPerSecond) {
        this.tokensPerSecond = tokensPerSecond;
        this.burst = Math.max(1, tokensPerSecond);
        this.availableTokens = burst;
    }

    /** Takes a token if one is available, and returns whether the call is within the limit. */
    synchronized boolean tryAcquire() {
        long now = System.nanoTime();
        availableTokens =
                Math.min(burst, availableTokens + (now - lastRefillNanos) * tokensPerSecond / 1e9);
        lastRefillNanos = now;
        if (availableTokens < 1) {
            return false;
        }
        availableTokens--;
        return true;
    }
}
