package org.carobdoor.internal.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointState;
import org.junit.jupiter.api.Test;

/** Guards against routing decisions that ignore a filter, the cache or the load. */
final class RouterTest {
    private final EndpointFixture clock = new EndpointFixture();
    private final PrefixCacheModel cache = PrefixCacheModel.create(1_000);

    private AffinityRouter affinity(EndpointView view) {
        return AffinityRouter.create(
                view, cache, RoutingWeights.defaults(), clock, new SplittableRandom(1));
    }

    /**
     * The prefill cost saved by the cache exceeds the load cost of the first, unfinished request.
     */
    @Test
    void samePrefixReturnsToTheSameEndpoint() {
        Router router = affinity(clock.view(10));
        long[] hashes = LongStream.range(1, 22).toArray();
        EndpointId first = router.route(EndpointFixture.request(1_408, hashes)).orElseThrow().id();
        for (int i = 0; i < 4; i++) {
            hashes[20] = 40L + i;
            var again = router.route(EndpointFixture.request(1_408, hashes)).orElseThrow();
            assertThat(again.id()).isEqualTo(first);
            again.close();
        }
    }

    /**
     * The prefill cost saved by the cache exceeds the load cost, so only the load bound can move
     * the request.
     */
    @Test
    void loadAboveTheBoundOverridesTheCache() {
        EndpointView view = clock.view(10);
        Router router = affinity(view);
        RouteRequest request = EndpointFixture.request(1_920, LongStream.range(1, 31).toArray());
        EndpointId first;
        try (Reservation r = router.route(request).orElseThrow()) {
            first = r.id();
        }
        Reservation load = view.reserve(first, 0, 600).orElseThrow();
        try (Reservation r = router.route(request).orElseThrow()) {
            assertThat(r.id()).isEqualTo(first);
        }
        load.close();
        assertThat(view.reserve(first, 0, 1_000)).isPresent();
        assertThat(router.route(request).orElseThrow().id()).isNotEqualTo(first);
    }

    @Test
    void sameZoneIsPreferredAtEqualLoad() {
        EndpointView view = clock.view(0);
        view.apply(EndpointFixture.engine(0, EndpointState.LIVE, EndpointFixture.ZONE_B, 1));
        view.apply(EndpointFixture.engine(1, EndpointState.LIVE, EndpointFixture.ZONE_A, 1));
        assertThat(affinity(view).route(EndpointFixture.request(64)).orElseThrow().id())
                .isEqualTo(EndpointFixture.id(1));
    }

    @Test
    void avoidedUnreachableAndLeavingEndpointsAreNotChosen() {
        EndpointView view = clock.view(3);
        view.apply(EndpointFixture.engine(3, EndpointState.LIVE, EndpointFixture.ZONE_B, 1));
        view.setZoneReachable(EndpointFixture.ZONE_B, false);
        view.onRefusal(EndpointFixture.id(1), Refusal.LEAVING);
        view.onRefusal(EndpointFixture.id(2), Refusal.OVERLOADED);
        RouteRequest request = EndpointFixture.request(64).avoiding(Set.of(EndpointFixture.id(0)));
        for (Router router : routers(view)) {
            assertThat(router.route(request)).isEmpty();
        }
        clock.advanceMillis(500);
        assertThat(affinity(view).route(request).orElseThrow().id())
                .isEqualTo(EndpointFixture.id(2));
    }

    @Test
    void leastOutstandingSpreadsEqualRequestsEvenly() {
        EndpointView view = clock.view(4);
        Router router = LeastOutstandingRouter.create(view, clock, new SplittableRandom(1));
        Set<EndpointId> chosen = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            chosen.add(router.route(EndpointFixture.request(64)).orElseThrow().id());
        }
        assertThat(chosen).hasSize(4);
    }

    @Test
    void roundRobinVisitsEndpointsInOrder() {
        Router router = RoundRobinRouter.create(clock.view(3), clock, new SplittableRandom(1));
        List<EndpointId> chosen = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            chosen.add(router.route(EndpointFixture.request(64)).orElseThrow().id());
        }
        assertThat(chosen)
                .containsExactly(
                        EndpointFixture.id(0),
                        EndpointFixture.id(1),
                        EndpointFixture.id(2),
                        EndpointFixture.id(0))
                .inOrder();
    }

    /**
     * Guards against a send to an endpoint whose notice was recorded before the request was routed.
     */
    @Test
    void noSendStartsAfterTheNoticeIsKnownWithManyThreads() throws InterruptedException {
        EndpointView view = clock.view(200);
        Router router = affinity(view);
        Set<EndpointId> noticed = ConcurrentHashMap.newKeySet();
        AtomicInteger sends = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int n = 0; n < 4; n++) {
            var random = new SplittableRandom(n);
            threads.add(
                    Thread.ofPlatform()
                            .start(
                                    () -> {
                                        for (int i = 0; i < 2_000; i++) {
                                            Set<EndpointId> before = Set.copyOf(noticed);
                                            EndpointId target =
                                                    EndpointFixture.id(random.nextInt(190));
                                            if (i % 40 == 0) {
                                                view.onNotice(target, clock.now, clock.now);
                                                noticed.add(target);
                                            }
                                            var r = router.route(EndpointFixture.request(64));
                                            r.ifPresent(
                                                    reservation -> {
                                                        if (reservation.startSend()) {
                                                            sends.incrementAndGet();
                                                            if (before.contains(reservation.id())) {
                                                                wrong.incrementAndGet();
                                                            }
                                                        }
                                                        reservation.close();
                                                    });
                                        }
                                    }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(wrong.get()).isEqualTo(0);
        assertThat(sends.get()).isGreaterThan(4_000);
        for (EndpointSnapshot endpoint : view.snapshots()) {
            assertWithMessage("%s", endpoint.id()).that(endpoint.ownTokens()).isEqualTo(0);
        }
    }

    private List<Router> routers(EndpointView view) {
        var random = new SplittableRandom(1);
        return List.of(
                affinity(view),
                LeastOutstandingRouter.create(view, clock, random),
                RandomRouter.create(view, clock, random),
                RoundRobinRouter.create(view, clock, random));
    }
}
