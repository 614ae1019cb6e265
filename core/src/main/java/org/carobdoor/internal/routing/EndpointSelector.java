package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;

/**
 * Filters the candidate endpoints of a request and reserves the selected one. Thread-safe. Several
 * stripes, each with its own lock and snapshot of the view, let decisions run in parallel.
 */
final class EndpointSelector {
    private static final int STRIPE_COUNT = 4;

    private static final class Stripe {
        final ReentrantLock lock = new ReentrantLock();
        final ViewSnapshot snapshot;
        final RandomGenerator random;

        Stripe(ViewSnapshot snapshot, RandomGenerator random) {
            this.snapshot = snapshot;
            this.random = random;
        }
    }

    private final EndpointView view;
    private final InstantSource clock;
    private final Stripe[] stripes = new Stripe[STRIPE_COUNT];

    EndpointSelector(EndpointView view, InstantSource clock, RandomGenerator random) {
        this.view = view;
        this.clock = clock;
        for (int i = 0; i < STRIPE_COUNT; i++) {
            stripes[i] = new Stripe(view.newSnapshot(), new SplittableRandom(random.nextLong()));
        }
    }

    /**
     * Returns a reservation at the endpoint that {@code policy} selects, or empty if no candidate
     * accepts the request.
     */
    Optional<Reservation> select(RouteRequest request, PromptCost cost, SelectionPolicy policy) {
        Stripe stripe = lockStripe();
        try {
            view.refresh(stripe.snapshot);
            long now = clock.millis();
            List<EndpointSnapshot> candidates = stripe.snapshot.serving(request.targets());
            candidates.removeIf(
                    endpoint ->
                            !endpoint.isRoutable(now)
                                    || request.avoid().contains(endpoint.id())
                                    || !view.isZoneReachable(endpoint.record().zone()));
            while (!candidates.isEmpty()) {
                int i = policy.select(candidates, request, now, stripe.random);
                EndpointSnapshot endpoint = candidates.get(i);
                var reservation =
                        view.reserve(endpoint.id(), cost.of(endpoint), request.expectedTokens());
                if (reservation.isPresent()) {
                    return reservation;
                }
                candidates.set(i, candidates.getLast());
                candidates.removeLast();
            }
            return Optional.empty();
        } finally {
            stripe.lock.unlock();
        }
    }

    /**
     * Locks the first free stripe. A single thread always gets the same stripe, which keeps its
     * decisions reproducible.
     */
    private Stripe lockStripe() {
        for (Stripe stripe : stripes) {
            if (stripe.lock.tryLock()) {
                return stripe;
            }
        }
        Stripe stripe = stripes[Math.floorMod(Thread.currentThread().threadId(), STRIPE_COUNT)];
        stripe.lock.lock();
        return stripe;
    }
}
