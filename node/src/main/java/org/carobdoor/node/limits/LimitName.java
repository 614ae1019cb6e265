package org.carobdoor.node.limits;

import java.util.Optional;
import org.carobdoor.internal.catalogue.EntryLimits;
import org.carobdoor.internal.limits.LimitKind;

/**
 * The name of a limit: {@code entry/<entry>/<kind>}.
 *
 * @param entry the name of the catalogue entry
 * @param kind the kind of limit
 */
record LimitName(String entry, LimitKind kind) {
    /**
     * Spend is counted in millionths of the currency unit so that cheap requests do not round to
     * zero.
     */
    static final double MICROS_PER_UNIT = 1_000_000;

    private static final String PREFIX = "entry/";

    static Optional<LimitName> parse(String text) {
        int slash = text.lastIndexOf('/');
        if (!text.startsWith(PREFIX) || slash <= PREFIX.length()) {
            return Optional.empty();
        }
        String label = text.substring(slash + 1);
        for (LimitKind kind : LimitKind.values()) {
            if (kind.label().equals(label)) {
                return Optional.of(new LimitName(text.substring(PREFIX.length(), slash), kind));
            }
        }
        return Optional.empty();
    }

    /** Returns the value of this limit, or 0 if it is not set. */
    long amount(EntryLimits limits) {
        return switch (kind) {
            case REQUESTS_PER_SECOND -> limits.requestsPerSecond();
            case TOKENS_PER_MINUTE -> limits.tokensPerMinute();
            case SPEND_PER_DAY -> (long) (limits.spendPerDay() * MICROS_PER_UNIT);
            case MAX_IN_FLIGHT -> limits.maxInFlight();
        };
    }

    @Override
    public String toString() {
        return PREFIX + entry + "/" + kind.label();
    }
}
