package org.carobdoor.internal.burn;

import java.time.Duration;

/** A time window, ending now, over which the burn rate is computed. */
public enum Window {
    /** Five minutes. */
    M5("5m", Duration.ofMinutes(5)),
    /** Thirty minutes. */
    M30("30m", Duration.ofMinutes(30)),
    /** One hour. */
    H1("1h", Duration.ofHours(1)),
    /** Six hours. */
    H6("6h", Duration.ofHours(6));

    private final String label;
    private final Duration length;

    Window(String label, Duration length) {
        this.label = label;
        this.length = length;
    }

    /** Returns the name used in reports and metrics. */
    public String label() {
        return label;
    }

    /** Returns the length. */
    public Duration length() {
        return length;
    }
}
