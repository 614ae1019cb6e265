package org.carobdoor.internal.limits;

import java.time.Duration;

/**
 * What a limit counts.
 *
 * <p>The allowance of a window grows linearly from an initial fraction at its start to the whole
 * limit. A new home node does not know what its predecessor granted. It grants only what the
 * allowance has grown by since it became the home, so that all home nodes of one window together
 * grant at most the limit. The initial fraction bounds how far use may run ahead of an even rate,
 * and how long a new home node has nothing to grant.
 */
public enum LimitKind {
    /** Requests started per second. */
    REQUESTS_PER_SECOND("requests_per_second", Duration.ofSeconds(1), 1.0),
    /** Tokens generated per minute. */
    TOKENS_PER_MINUTE("tokens_per_minute", Duration.ofMinutes(1), 0.25),
    /**
     * Spend per day, in millionths of the currency of the platform; at most one hour ahead of an
     * even rate.
     */
    SPEND_PER_DAY("spend_per_day", Duration.ofDays(1), 1.0 / 24),
    /** Requests in flight; the window is the time for which slots are granted. */
    MAX_IN_FLIGHT("max_in_flight", Duration.ofSeconds(10), 1.0);

    private final String label;
    private final Duration window;
    private final double initialFraction;

    LimitKind(String label, Duration window, double initialFraction) {
        this.label = label;
        this.window = window;
        this.initialFraction = initialFraction;
    }

    /** Returns the name of the limit in catalogue entries. */
    public String label() {
        return label;
    }

    /** Returns the length of the window. */
    public Duration window() {
        return window;
    }

    /** Returns the fraction of the limit that is available when a window begins. */
    public double initialFraction() {
        return initialFraction;
    }
}
