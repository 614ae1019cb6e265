package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.catalogue.CatalogueEntry;

/**
 * Chooses the endpoint with the lowest score, which combines prefill cost, outstanding load,
 * availability zone and price. A cached prefix lowers the prefill cost only while the load of the
 * endpoint stays within a bound.
 *
 * <p>The load bound follows Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
 * Loads", 2018, with the cache model in place of the hash ring.
 */
public final class AffinityRouter implements Router {
    private final EndpointSelector selector;
    private final PrefixCacheModel cache;
    private final RoutingWeights weights;

    private AffinityRouter(
            EndpointSelector selector, PrefixCacheModel cache, RoutingWeights weights) {
        this.selector = selector;
        this.cache = cache;
        this.weights = weights;
    }

    /** Returns a router over {@code view} that also records its decisions in {@code cache}. */
    public static AffinityRouter create(
            EndpointView view,
            PrefixCacheModel cache,
            RoutingWeights weights,
            InstantSource clock,
            RandomGenerator random) {
        return new AffinityRouter(new EndpointSelector(view, clock, random), cache, weights);
    }

    @Override
    public Optional<Reservation> route(RouteRequest request) {
        Map<EndpointId, Integer> cached = cache.match(request.prefix());
        int block = request.prefix().blockTokens();
        Optional<Reservation> reservation =
                selector.select(
                        request,
                        endpoint ->
                                request.promptCost(cached.getOrDefault(endpoint.id(), 0) * block),
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
        double totalLoad = 0;
        double maxPrice = 0;
        for (EndpointSnapshot endpoint : candidates) {
            totalLoad += endpoint.load(now);
            maxPrice = Math.max(maxPrice, endpoint.record().pricePerHour());
        }
        double bound = weights.loadBound() * totalLoad / candidates.size() + weights.slackTokens();
        // A random start makes nodes that compute equal scores pick different endpoints.
        int start = random.nextInt(candidates.size());
        int best = start;
        double bestScore = Double.POSITIVE_INFINITY;
        for (int offset = 0; offset < candidates.size(); offset++) {
            int i = (start + offset) % candidates.size();
            double score = score(candidates.get(i), request, cached, now, bound, maxPrice);
            if (score < bestScore) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }

    private double score(
            EndpointSnapshot endpoint,
            RouteRequest request,
            Map<EndpointId, Integer> cached,
            long now,
            double bound,
            double maxPrice) {
        double load = endpoint.load(now);
        int blocks = load <= bound ? cached.getOrDefault(endpoint.id(), 0) : 0;
        double score =
                request.promptCost(blocks * request.prefix().blockTokens())
                        + weights.loadWeight() * load;
        if (!endpoint.record().zone().equals(request.zone())) {
            score += weights.zoneTokens();
        }
        if (maxPrice > 0) {
            double priorityShare =
                    (request.priority() - CatalogueEntry.HIGHEST_PRIORITY)
                            / (double)
                                    (CatalogueEntry.LOWEST_PRIORITY
                                            - CatalogueEntry.HIGHEST_PRIORITY);
            score +=
                    weights.priceTokens()
                            * priorityShare
                            * endpoint.record().pricePerHour()
                            / maxPrice;
        }
        return score;
    }
}
