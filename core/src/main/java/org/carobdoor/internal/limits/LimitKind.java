package org.carobdoor.internal.limits;

import java.time.Duration;

/**
 * What a limit counts.
 *
 * <p>The allowance of a window grows from the head start at its begin evenly to the whole limit. A
 * new home node does not know what its predecessor granted. It grants only what the allowance has
 * grown since it became the home, so that all home nodes of one window together grant the limit at
 * most. The head start decides how far use may run ahead of an even pace, and how long a new home
 * node has nothing to grant.
 */
public enum LimitKind {
    /** Requests started a second. */
    REQUESTS_PER_SECOND("requests_per_second", Duration.ofSeconds(1), 1.0),
    /** Tokens generated a minute. */
    TOKENS_PER_MINUTE("tokens_per_minute", Duration.ofMinutes(1), 0.25),
    /** Spend a day, in millionths of the platform's currency; at most an hour ahead of its pace. */
    SPEND_PER_DAY("spend_per_day", Duration.ofDays(1), 1.0 / 24),
    /** Requests in flight; the window is the time for which slots are granted. */
    MAX_IN_FLIGHT("max_in_flight", Duration.ofSeconds(10), 1.0);

    private final String label;
    private final Duration window;
    private final double headStart;

    LimitKind(String label, Duration window, double headStart) {
        this.label = label;
        this.window = window;
        this.headStart = headStart;
    }

    /** Returns the name of the limit in catalogue entries. */
    public String label() {
        return label;
    }

    /** Returns the length of the window. */
    public Duration window() {
        return window;
    }

    /** Returns the part of the limit that is available at the begin of a window. */
    public double headStart() {
        return headStart;
    }
}
