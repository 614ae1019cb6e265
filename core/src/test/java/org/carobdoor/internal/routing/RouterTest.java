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

/** Guards against choices that ignore a filter, the cache or the load. */
final class RouterTest {
    private final Endpoints clock = new Endpoints();
    private final PrefixCacheModel cache = PrefixCacheModel.create(1_000);

    private AffinityRouter affinity(EndpointView view) {
        return AffinityRouter.create(
                view, cache, RoutingWeights.defaults(), clock, new SplittableRandom(1));
    }

    /** The saving of the cache exceeds the price of the load that the first request leaves. */
    @Test
    void samePrefixReturnsToTheSameEndpoint() {
        Router router = affinity(clock.view(10));
        long[] hashes = LongStream.range(1, 22).toArray();
        EndpointId first = router.route(Endpoints.request(1_408, hashes)).orElseThrow().id();
        for (int i = 0; i < 4; i++) {
            hashes[20] = 40L + i;
            var again = router.route(Endpoints.request(1_408, hashes)).orElseThrow();
            assertThat(again.id()).isEqualTo(first);
            again.close();
        }
    }

    /** The saving of the cache exceeds the price of the load here, so only the bound can decide. */
    @Test
    void loadAboveTheBoundOverridesTheCache() {
        EndpointView view = clock.view(10);
        Router router = affinity(view);
        RouteRequest request = Endpoints.request(1_920, LongStream.range(1, 31).toArray());
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
        view.apply(Endpoints.engine(0, EndpointState.LIVE, Endpoints.ZONE_B, 1));
        view.apply(Endpoints.engine(1, EndpointState.LIVE, Endpoints.ZONE_A, 1));
        assertThat(affinity(view).route(Endpoints.request(64)).orElseThrow().id())
                .isEqualTo(Endpoints.id(1));
    }

    @Test
    void avoidedUnreachableAndLeavingEndpointsAreNotChosen() {
        EndpointView view = clock.view(3);
        view.apply(Endpoints.engine(3, EndpointState.LIVE, Endpoints.ZONE_B, 1));
        view.setZoneReachable(Endpoints.ZONE_B, false);
        view.onRefusal(Endpoints.id(1), Refusal.LEAVING);
        view.onRefusal(Endpoints.id(2), Refusal.OVERLOADED);
        RouteRequest request = Endpoints.request(64).avoiding(Set.of(Endpoints.id(0)));
        for (Router router : routers(view)) {
            assertThat(router.route(request)).isEmpty();
        }
        clock.advanceMillis(500);
        assertThat(affinity(view).route(request).orElseThrow().id()).isEqualTo(Endpoints.id(2));
    }

    @Test
    void leastOutstandingSpreadsEqualRequestsEvenly() {
        EndpointView view = clock.view(4);
        Router router = LeastOutstandingRouter.create(view, clock, new SplittableRandom(1));
        Set<EndpointId> chosen = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            chosen.add(router.route(Endpoints.request(64)).orElseThrow().id());
        }
        assertThat(chosen).hasSize(4);
    }

    @Test
    void roundRobinTakesEachInTurn() {
        Router router = RoundRobinRouter.create(clock.view(3), clock, new SplittableRandom(1));
        List<EndpointId> chosen = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            chosen.add(router.route(Endpoints.request(64)).orElseThrow().id());
        }
        assertThat(chosen)
                .containsExactly(Endpoints.id(0), Endpoints.id(1), Endpoints.id(2), Endpoints.id(0))
                .inOrder();
    }

    /** Each thread notes which notices it has given before it routes; none of those may be used. */
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
                                            EndpointId gone = Endpoints.id(random.nextInt(190));
                                            if (i % 40 == 0) {
                                                view.onNotice(gone, clock.now, clock.now);
                                                noticed.add(gone);
                                            }
                                            var r = router.route(Endpoints.request(64));
                                            r.ifPresent(
                                                    x -> {
                                                        if (x.startSend()) {
                                                            sends.incrementAndGet();
                                                            if (before.contains(x.id())) {
                                                                wrong.incrementAndGet();
                                                            }
                                                        }
                                                        x.close();
                                                    });
                                        }
                                    }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(wrong.get()).isEqualTo(0);
        assertThat(sends.get()).isGreaterThan(4_000);
        for (EndpointSnapshot image : view.snapshots()) {
            assertWithMessage("%s", image.id()).that(image.ownTokens()).isEqualTo(0);
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
