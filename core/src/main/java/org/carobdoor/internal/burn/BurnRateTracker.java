package org.carobdoor.internal.burn;

import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/**
 * Counts the requests of this node by entry. Thread-safe; each entry has its own lock. Uses about 6
 * KB per entry.
 *
 * <pre>{@code
 * var missedFor = BurnRateTracker.judge(entry, firstTokenMillis, gapMillis, MissCause.ENGINE);
 * burn.onFinished(entry, missedFor, cost, 0);
 * List<EntryBurn> fleet = BurnRateTracker.merge(List.of(burn.report(), reportOfPeer));
 * }</pre>
 */
public final class BurnRateTracker {
    private final InstantSource clock;
    private final Map<String, EntryCounter> counters = new ConcurrentHashMap<>();

    private BurnRateTracker(InstantSource clock) {
        this.clock = clock;
    }

    /** Returns a tracker with all counters at zero. */
    public static BurnRateTracker create(InstantSource clock) {
        return new BurnRateTracker(clock);
    }

    /**
     * Records a finished request, whether it was served, refused or failed.
     *
     * @param missedFor why it missed its objective, or empty if it met it
     * @param cost the price of the machine time that it used
     * @param recomputedTokens prompt and output tokens that were computed more than once for it
     */
    public void onFinished(
            CatalogueEntry entry,
            Optional<MissCause> missedFor,
            double cost,
            long recomputedTokens) {
        counters.computeIfAbsent(entry.name(), n -> new EntryCounter(entry.objective()))
                .add(
                        entry.objective(),
                        missedFor.orElse(null),
                        cost,
                        recomputedTokens,
                        clock.millis());
    }

    /**
     * Returns {@code cause} if a served request missed its objective, or empty if it met it.
     *
     * @param gapMillis the mean time between tokens, 0 for an answer of one token
     */
    public static Optional<MissCause> judge(
            CatalogueEntry entry, double firstTokenMillis, double gapMillis, MissCause cause) {
        boolean met =
                firstTokenMillis <= entry.objective().firstTokenMillis()
                        && gapMillis <= entry.objective().tokenGapMillis();
        return met ? Optional.empty() : Optional.of(cause);
    }

    /** Removes an entry that was removed from the catalogue. */
    public void forget(String entryName) {
        counters.remove(entryName);
    }

    /** Returns the counts of this node, ordered by entry name. */
    public List<EntryBurn> report() {
        long now = clock.millis();
        return new TreeMap<>(counters)
                .entrySet().stream().map(e -> e.getValue().report(e.getKey(), now)).toList();
    }

    /** Returns the sum of the reports of several nodes, ordered by entry name. */
    public static List<EntryBurn> merge(Collection<List<EntryBurn>> reports) {
        Map<String, EntryBurn> sum = new TreeMap<>();
        for (List<EntryBurn> report : reports) {
            report.forEach(e -> sum.merge(e.name(), e, EntryBurn::plus));
        }
        return List.copyOf(sum.values());
    }
}
