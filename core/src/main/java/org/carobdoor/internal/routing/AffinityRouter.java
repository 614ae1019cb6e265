package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/**
 * Prefers endpoints that have the prompt's prefix cached, as long as their load stays within a
 * bound; then those with little outstanding, in the same availability zone, at a low price.
 *
 * <p>Source of the bound: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
 * Loads", 2018. Here the cache model takes the place of the hash ring.
 */
public final class AffinityRouter implements Router {
    private final RouteTable table;
    private final PrefixCacheModel cache;
    private final RoutingWeights weights;

    private AffinityRouter(RouteTable table, PrefixCacheModel cache, RoutingWeights weights) {
        this.table = table;
        this.cache = cache;
        this.weights = weights;
    }

    /** Returns a router over {@code view} that also updates {@code cache} with its choices. */
    public static AffinityRouter create(
            EndpointView view,
            PrefixCacheModel cache,
            RoutingWeights weights,
            InstantSource clock,
            RandomGenerator random) {
        return new AffinityRouter(new RouteTable(view, clock, random), cache, weights);
    }

    @Override
    public Optional<Reservation> route(RouteRequest request) {
        Map<EndpointId, Integer> cached = cache.match(request.prefix());
        int block = request.prefix().blockTokens();
        Optional<Reservation> reservation =
                table.route(
                        request,
                        image -> request.promptCost(cached.getOrDefault(image.id(), 0) * block),
                        (candidates, r, now, random) -> choose(candidates, r, cached, now, random));
        reservation.ifPresent(r -> cache.onRouted(r.id(), request.prefix()));
        return reservation;
    }

    private int choose(
            List<EndpointSnapshot> candidates,
            RouteRequest request,
            Map<EndpointId, Integer> cached,
            long now,
            RandomGenerator random) {
        double sum = 0;
        double dearest = 0;
        for (EndpointSnapshot image : candidates) {
            sum += image.load(now);
            dearest = Math.max(dearest, image.record().pricePerHour());
        }
        double bound = weights.loadBound() * sum / candidates.size() + weights.slackTokens();
        // A random start spreads nodes that see equal scores.
        int start = random.nextInt(candidates.size());
        int best = start;
        double bestScore = Double.POSITIVE_INFINITY;
        for (int k = 0; k < candidates.size(); k++) {
            int i = (start + k) % candidates.size();
            double score = score(candidates.get(i), request, cached, now, bound, dearest);
            if (score < bestScore) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }

    private double score(
            EndpointSnapshot image,
            RouteRequest request,
            Map<EndpointId, Integer> cached,
            long now,
            double bound,
            double dearest) {
        double load = image.load(now);
        int blocks = load <= bound ? cached.getOrDefault(image.id(), 0) : 0;
        double score =
                request.promptCost(blocks * request.prefix().blockTokens())
                        + weights.loadWeight() * load;
        if (!image.record().zone().equals(request.zone())) {
            score += weights.zoneTokens();
        }
        if (dearest > 0) {
            double share =
                    (request.priority() - CatalogueEntry.HIGHEST_PRIORITY)
                            / (double)
                                    (CatalogueEntry.LOWEST_PRIORITY
                                            - CatalogueEntry.HIGHEST_PRIORITY);
            score += weights.priceTokens() * share * image.record().pricePerHour() / dearest;
        }
        return score;
    }
}
