package org.carobdoor.internal.capacity;

/**
 * The times that requests are expected to take at an unloaded endpoint. They are compared with
 * measured times of many requests, so they must only be right relative to each other.
 */
public final class ExpectedTimes {
    private static final double FIRST_TOKEN_MILLIS = 40;
    private static final double PROMPT_TOKENS_PER_MILLI = 80;

    /** The objective of a route is about this multiple of the time of an unloaded endpoint. */
    private static final double PLAIN_OBJECTIVE_FACTOR = 4;

    private static final double MAX_MILLIS = 600_000;

    private ExpectedTimes() {}

    /** Returns the milliseconds from sending a request until the first token. */
    public static double engineMillis(double unreadTokens) {
        return Math.clamp(
                FIRST_TOKEN_MILLIS + unreadTokens / PROMPT_TOKENS_PER_MILLI,
                FIRST_TOKEN_MILLIS,
                MAX_MILLIS);
    }

    /**
     * Returns the milliseconds until the answer of a plain service.
     *
     * @param objectiveMillis the latency objective of the route
     */
    public static double plainMillis(double objectiveMillis) {
        return Math.clamp(objectiveMillis / PLAIN_OBJECTIVE_FACTOR, 1, MAX_MILLIS);
    }
}
