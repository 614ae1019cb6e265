package org.carobdoor.internal.deployment;

/**
 * Limits on what a caller may send on a connection.
 *
 * @param headerBytes the maximum size of a request head
 * @param bodyBytes the maximum size of a request body
 * @param headerTimeoutMillis the maximum time for a request head to arrive
 * @param idleTimeoutMillis the maximum time that a connection may stay without a request
 */
public record CallerLimits(
        int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Returns the limits that apply before a configuration is known. */
    public static CallerLimits defaults() {
        return new CallerLimits(16 << 10, 4 << 20, 3_000, 15_000);
    }
}
