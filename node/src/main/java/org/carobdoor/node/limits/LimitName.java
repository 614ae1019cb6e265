package org.carobdoor.node.limits;

import java.util.Optional;
import org.carobdoor.internal.catalogue.EntryLimits;
import org.carobdoor.internal.limits.LimitKind;

/**
 * Names a limit: {@code entry/<entry>/<kind>}.
 *
 * @param entry the name of the catalogue entry
 * @param kind what is counted
 */
record LimitName(String entry, LimitKind kind) {
    /** Spend is counted in millionths, so that requests that cost little are counted. */
    static final double MICROS = 1_000_000;

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

    /** Returns the amount of this limit, 0 if there is none. */
    long amount(EntryLimits limits) {
        return switch (kind) {
            case REQUESTS_PER_SECOND -> limits.requestsPerSecond();
            case TOKENS_PER_MINUTE -> limits.tokensPerMinute();
            case SPEND_PER_DAY -> (long) (limits.spendPerDay() * MICROS);
            case MAX_IN_FLIGHT -> limits.maxInFlight();
        };
    }

    @Override
    public String toString() {
        return PREFIX + entry + "/" + kind.label();
    }
}
