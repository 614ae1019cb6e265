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
 * Accounts for one request: limits, burn, admission and metrics. Used by one thread.
 *
 * <pre>{@code
 * try (RequestScope scope = open.scope()) {
 *     scope.onTokens(1);
 * }
 * }</pre>
 */
public final class RequestScope implements AutoCloseable {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final CatalogueEntry entry;
    private final LimitService limits;
    private final BurnRateTracker burn;
    private final Admission admission;
    private final NodeMetrics metrics;
    private final InstantSource clock;
    private final Instant start;
    private Instant last;
    private double firstTokenMillis;
    private long tokens;
    private double cost;
    private long recomputedTokens;
    private @Nullable MissCause failure;

    RequestScope(
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
        this.last = start;
    }

    /** Notes {@code count} tokens, or one for the answer of a plain service. */
    public void onTokens(int count) {
        last = clock.instant();
        if (tokens == 0) {
            firstTokenMillis = Duration.between(start, last).toNanos() / NANOS_PER_MILLI;
            metrics.firstToken(entry.name(), firstTokenMillis / MILLIS_PER_SECOND);
        }
        tokens += count;
        metrics.tokens(entry.name(), count);
    }

    /** Notes what the request cost and how many of its tokens were computed more than once. */
    public void onUsage(double spent, long recomputed) {
        cost += spent;
        recomputedTokens += recomputed;
    }

    /** Notes that the request failed. */
    public void onFailure(MissCause cause) {
        failure = cause;
    }

    @Override
    public void close() {
        limits.end(entry.name());
        limits.charge(entry.name(), tokens, cost);
        if (failure == null && tokens == 0) {
            // The caller was refused for a mistake of its own, or has gone: no objective applies.
            return;
        }
        burn.onFinished(entry, missedFor(), cost, recomputedTokens);
        if (failure == null && recomputedTokens == 0) {
            for (String target : RouteRequest.targetsOf(entry)) {
                admission.onServed(target, entry, firstTokenMillis, gapMillis());
            }
        }
    }

    private Optional<MissCause> missedFor() {
        if (failure != null) {
            return Optional.of(failure);
        }
        MissCause slow = recomputedTokens > 0 ? MissCause.RECLAIM : MissCause.ENGINE;
        return BurnRateTracker.judge(entry, firstTokenMillis, gapMillis(), slow);
    }

    private double gapMillis() {
        if (tokens < 2) {
            return 0;
        }
        double total = Duration.between(start, last).toNanos() / NANOS_PER_MILLI;
        return (total - firstTokenMillis) / (tokens - 1);
    }
}
