package org.carobdoor.internal.deployment;

/**
 * Bounds of what a caller may send on a connection.
 *
 * @param headerBytes the largest head of a request
 * @param bodyBytes the largest body of a request
 * @param headerTimeoutMillis how long a head may take to arrive
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record CallerLimits(
        int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Returns the bounds that hold before a configuration is known. */
    public static CallerLimits defaults() {
        return new CallerLimits(16 << 10, 4 << 20, 3_000, 15_000);
    }
}
