package org.carobdoor.internal.burn;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.internal.catalogue.EntryObjective;

/**
 * The request counts and the error budget use of one entry, at one node or summed over several.
 *
 * @param name the name of the entry
 * @param objective its objective
 * @param all requests since the node started; the counters are not persisted and restart at zero
 * @param windows requests within each window
 * @param causes requests that missed the objective, by cause
 * @param cost the price of the machine time used, in the currency of the platform
 * @param recomputedTokens tokens computed more than once
 */
public record EntryBurn(
        String name,
        EntryObjective objective,
        RequestCounts all,
        Map<Window, RequestCounts> windows,
        Map<MissCause, Long> causes,
        double cost,
        long recomputedTokens) {

    /** Copies the maps into the order of their keys. */
    public EntryBurn {
        windows = Collections.unmodifiableMap(new EnumMap<>(windows));
        causes = Collections.unmodifiableMap(new EnumMap<>(causes));
        long missed = causes.values().stream().mapToLong(Long::longValue).sum();
        Preconditions.checkInvariant(
                missed == all.total() - all.good(),
                "counts by cause do not add up to the missed requests");
    }

    /** Returns the burn rate over {@code window}. */
    public double burnRate(Window window) {
        return windows.getOrDefault(window, RequestCounts.ZERO).burnRate(objective.targetPercent());
    }

    /**
     * Returns the remaining fraction of the error budget for the requests counted so far; 1 if none
     * is used, negative if it is exceeded.
     */
    public double budgetLeft() {
        return 1 - all.burnRate(objective.targetPercent());
    }

    /**
     * Returns whether the error budget burns so fast that an operator should be paged: a burn rate
     * of at least 14.4 over both 5 min and 1 h, or of at least 6 over both 30 min and 6 h.
     *
     * <p>Source of the rates: Beyer et al., "The Site Reliability Workbook", chapter 5, 2018.
     */
    public boolean isUrgent() {
        return (burnRate(Window.M5) >= 14.4 && burnRate(Window.H1) >= 14.4)
                || (burnRate(Window.M30) >= 6 && burnRate(Window.H6) >= 6);
    }

    /** Returns the sum of both reports, with the objective of this one. */
    public EntryBurn plus(EntryBurn other) {
        Preconditions.checkArgument(
                name.equals(other.name), "cannot add reports of different entries");
        Map<Window, RequestCounts> w = new EnumMap<>(Window.class);
        for (Window x : Window.values()) {
            w.put(
                    x,
                    windows.getOrDefault(x, RequestCounts.ZERO)
                            .plus(other.windows.getOrDefault(x, RequestCounts.ZERO)));
        }
        Map<MissCause, Long> c = new EnumMap<>(MissCause.class);
        for (MissCause x : MissCause.values()) {
            c.put(x, causes.getOrDefault(x, 0L) + other.causes.getOrDefault(x, 0L));
        }
        return new EntryBurn(
                name,
                objective,
                all.plus(other.all),
                w,
                c,
                cost + other.cost,
                recomputedTokens + other.recomputedTokens);
    }
}
