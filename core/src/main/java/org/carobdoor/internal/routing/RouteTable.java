package org.carobdoor.internal.routing;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;

/**
 * Filters candidates and reserves the chosen one. It keeps several snapshots of the view, each with
 * its own lock, so that decisions run in parallel.
 */
final class RouteTable {
    private static final int LANES = 4;

    private static final class Lane {
        final ReentrantLock lock = new ReentrantLock();
        final ViewSnapshot snapshot;
        final RandomGenerator random;

        Lane(ViewSnapshot snapshot, RandomGenerator random) {
            this.snapshot = snapshot;
            this.random = random;
        }
    }

    private final EndpointView view;
    private final InstantSource clock;
    private final Lane[] lanes = new Lane[LANES];

    RouteTable(EndpointView view, InstantSource clock, RandomGenerator random) {
        this.view = view;
        this.clock = clock;
        for (int i = 0; i < LANES; i++) {
            lanes[i] = new Lane(view.newSnapshot(), new SplittableRandom(random.nextLong()));
        }
    }

    /** Returns a reservation at the endpoint that {@code chooser} prefers. */
    Optional<Reservation> route(RouteRequest request, PromptCost cost, Chooser chooser) {
        Lane lane = lockLane();
        try {
            view.refresh(lane.snapshot);
            long now = clock.millis();
            List<EndpointSnapshot> candidates = lane.snapshot.serving(request.targets());
            candidates.removeIf(
                    image ->
                            !image.isRoutable(now)
                                    || request.avoid().contains(image.id())
                                    || !view.isZoneReachable(image.record().zone()));
            while (!candidates.isEmpty()) {
                int i = chooser.choose(candidates, request, now, lane.random);
                EndpointSnapshot image = candidates.get(i);
                var reservation =
                        view.reserve(image.id(), cost.of(image), request.expectedTokens());
                if (reservation.isPresent()) {
                    return reservation;
                }
                candidates.set(i, candidates.getLast());
                candidates.removeLast();
            }
            return Optional.empty();
        } finally {
            lane.lock.unlock();
        }
    }

    /** Takes the first free lane; a single thread always gets the same one and is reproducible. */
    private Lane lockLane() {
        for (Lane lane : lanes) {
            if (lane.lock.tryLock()) {
                return lane;
            }
        }
        Lane lane = lanes[Math.floorMod(Thread.currentThread().threadId(), LANES)];
        lane.lock.lock();
        return lane;
    }
}
