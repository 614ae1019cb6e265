package org.carobdoor.node.admission;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.carobdoor.internal.admission.Admission;
import org.carobdoor.internal.burn.BurnRateTracker;
import org.carobdoor.internal.burn.MissCause;
import org.carobdoor.internal.catalogue.CatalogueEntry;
import org.carobdoor.internal.routing.RouteRequest;
import org.carobdoor.node.limits.LimitService;
import org.carobdoor.node.metrics.NodeMetrics;
import org.jspecify.annotations.Nullable;

/**
 * Accounts for one request in limits, error budget, admission control and metrics. Not thread-safe.
 *
 * <pre>{@code
 * try (RequestAccounting accounting = admitted.accounting()) {
 *     accounting.onTokens(1);
 * }
 * }</pre>
 */
public final class RequestAccounting implements AutoCloseable {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final CatalogueEntry entry;
    private final LimitService limits;
    private final BurnRateTracker burn;
    private final Admission admission;
    private final NodeMetrics metrics;
    private final InstantSource clock;
    private final Instant start;
    private Instant lastTokenAt;
    private double firstTokenMillis;
    private long tokens;
    private double cost;
    private long recomputedTokens;
    private @Nullable MissCause failure;

    RequestAccounting(
            CatalogueEntry entry,
            LimitService limits,
            BurnRateTracker burn,
            Admission admission,
            NodeMetrics metrics,
            InstantSource clock) {
        this.entry = entry;
        this.limits = limits;
        this.burn = burn;
        this.admission = admission;
        this.metrics = metrics;
        this.clock = clock;
        this.start = clock.instant();
        this.lastTokenAt = start;
    }

    /** Records {@code count} tokens; the answer of a plain service counts as one token. */
    public void onTokens(int count) {
        lastTokenAt = clock.instant();
        if (tokens == 0) {
            firstTokenMillis = Duration.between(start, lastTokenAt).toNanos() / NANOS_PER_MILLI;
            metrics.timeToFirstToken(entry.name(), firstTokenMillis / MILLIS_PER_SECOND);
        }
        tokens += count;
        metrics.tokens(entry.name(), count);
    }

    /** Records the cost of the request and the number of its tokens computed more than once. */
    public void onUsage(double addedCost, long addedRecomputedTokens) {
        cost += addedCost;
        recomputedTokens += addedRecomputedTokens;
    }

    /** Records that the request failed because of {@code cause}. */
    public void onFailure(MissCause cause) {
        failure = cause;
    }

    @Override
    public void close() {
        limits.end(entry.name());
        limits.charge(entry.name(), tokens, cost);
        if (failure == null && tokens == 0) {
            // The request was invalid or the caller disconnected: the objective does not apply.
            return;
        }
        burn.onFinished(entry, missedObjectiveCause(), cost, recomputedTokens);
        if (failure == null && recomputedTokens == 0) {
            for (String target : RouteRequest.targetsOf(entry)) {
                admission.onServed(target, entry, firstTokenMillis, tokenGapMillis());
            }
        }
    }

    private Optional<MissCause> missedObjectiveCause() {
        if (failure != null) {
            return Optional.of(failure);
        }
        MissCause latencyCause = recomputedTokens > 0 ? MissCause.RECLAIM : MissCause.ENGINE;
        return BurnRateTracker.judge(entry, firstTokenMillis, tokenGapMillis(), latencyCause);
    }

    private double tokenGapMillis() {
        if (tokens < 2) {
            return 0;
        }
        double total = Duration.between(start, lastTokenAt).toNanos() / NANOS_PER_MILLI;
        return (total - firstTokenMillis) / (tokens - 1);
    }
}
