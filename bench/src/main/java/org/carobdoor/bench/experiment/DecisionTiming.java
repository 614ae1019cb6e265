package org.carobdoor.bench.experiment;

import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.NodeId;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;
import org.carobdoor.internal.routing.AffinityRouter;
import org.carobdoor.internal.routing.DenseList;
import org.carobdoor.internal.routing.EndpointView;
import org.carobdoor.internal.routing.LeastOutstandingRouter;
import org.carobdoor.internal.routing.PrefixCacheModel;
import org.carobdoor.internal.routing.Reservation;
import org.carobdoor.internal.routing.RouteRequest;
import org.carobdoor.internal.routing.Router;
import org.carobdoor.internal.routing.RoutingWeights;
import org.carobdoor.internal.routing.ViewSettings;
import org.carobdoor.internal.routing.ViewSnapshot;
import org.carobdoor.message.LoadReport;

/**
 * Measures the duration of routing decisions and view updates in a plain loop. After warm-up
 * rounds, prints the median and the range of the measured rounds.
 *
 * <pre>{@code
 * java -cp bench-all.jar org.carobdoor.bench.experiment.DecisionTiming
 * }</pre>
 */
public final class DecisionTiming {
    private static final int WARM_UP_ROUNDS = 5;
    private static final int ROUNDS = 9;
    private static final long ROUND_NANOS = 200_000_000;

    /** Consumes the results, so that the JIT compiler cannot eliminate the measured work. */
    private static long resultSink;

    private DecisionTiming() {}

    /** Prints one table row per operation and number of endpoints. */
    public static void main(String[] args) {
        System.out.println("| endpoints | operation | median ns (min to max) |");
        System.out.println("|---|---|---|");
        for (int n : new int[] {12, 100, 920}) {
            measureDecisions(n);
            measureSnapshots(n);
            measureRemovals(n);
        }
        System.err.println("checksum " + resultSink);
    }

    private static void measureDecisions(int n) {
        EndpointView view = view(n);
        InstantSource clock = InstantSource.system();
        var random = new SplittableRandom(1);
        PrefixCacheModel cache = PrefixCacheModel.create(200);
        Workload workload = Workload.auctions(1);
        RouteRequest[] requests = new RouteRequest[256];
        for (int i = 0; i < requests.length; i++) {
            Workload.RequestSpec spec = workload.next(i, random);
            requests[i] =
                    RouteRequest.of(
                            spec.kind().entry(),
                            spec.prefix(),
                            spec.promptTokens(),
                            spec.outputTokens(),
                            new AvailabilityZone("a"));
        }
        measure(
                n,
                "decision, affinity",
                routeOperation(
                        AffinityRouter.create(
                                view, cache, RoutingWeights.defaults(), clock, random),
                        requests));
        measure(
                n,
                "decision, least outstanding",
                routeOperation(LeastOutstandingRouter.create(view, clock, random), requests));
        var peer = new NodeId("peer");
        measure(
                n,
                "view update, one peer load",
                i -> {
                    view.onPeerLoad(peer, new LoadReport(Map.of(id((int) (i % n)), i % 1_000)));
                    return i;
                });
    }

    private static Operation routeOperation(Router router, RouteRequest[] requests) {
        return i -> {
            Optional<Reservation> r = router.route(requests[(int) (i % requests.length)]);
            r.ifPresent(Reservation::close);
            return r.isPresent() ? 1 : 0;
        };
    }

    private static void measureSnapshots(int n) {
        EndpointView view = view(n);
        ViewSnapshot incremental = view.newSnapshot();
        measure(
                n,
                "one change, then incremental snapshot",
                i -> {
                    changeOneEndpoint(view, i, n);
                    view.refresh(incremental);
                    return incremental.size();
                });
        measure(
                n,
                "one change, then full copy",
                i -> {
                    changeOneEndpoint(view, i, n);
                    ViewSnapshot full = view.newSnapshot();
                    view.refresh(full);
                    return full.size();
                });
    }

    private static void changeOneEndpoint(EndpointView view, long i, int n) {
        view.reserve(id((int) (i % n)), 1, 1).ifPresent(Reservation::close);
    }

    private static void measureRemovals(int n) {
        DenseList<EndpointId, EndpointId> dense = new DenseList<>();
        List<EndpointId> scanned = new ArrayList<>();
        EndpointId[] ids = new EndpointId[n];
        for (int i = 0; i < n; i++) {
            ids[i] = id(i);
            dense.put(ids[i], ids[i]);
            scanned.add(ids[i]);
        }
        measure(
                n,
                "remove and add, swap with last and index",
                i -> {
                    EndpointId id = ids[scatteredIndex(i, n)];
                    dense.remove(id);
                    dense.put(id, id);
                    return dense.size();
                });
        measure(
                n,
                "remove and add, scan and shift",
                i -> {
                    EndpointId id = ids[scatteredIndex(i, n)];
                    scanned.remove(id);
                    scanned.add(id);
                    return scanned.size();
                });
    }

    /** Scatters the indices, because a fixed stride would always find the element at the front. */
    private static int scatteredIndex(long i, int n) {
        return (int) Math.floorMod((i * 0x9E3779B97F4A7C15L) >>> 20, (long) n);
    }

    /** A measured operation. Its result only prevents dead code elimination. */
    private interface Operation {
        long run(long i);
    }

    private static void measure(int n, String name, Operation operation) {
        double[] nanos = new double[ROUNDS];
        for (int round = -WARM_UP_ROUNDS; round < ROUNDS; round++) {
            long start = System.nanoTime();
            long count = 0;
            while (System.nanoTime() - start < ROUND_NANOS) {
                for (int k = 0; k < 16; k++) {
                    resultSink += operation.run(count++);
                }
            }
            if (round >= 0) {
                nanos[round] = (double) (System.nanoTime() - start) / count;
            }
        }
        Arrays.sort(nanos);
        System.out.printf(
                "| %d | %s | %.0f (%.0f to %.0f) |%n",
                n, name, nanos[ROUNDS / 2], nanos[0], nanos[ROUNDS - 1]);
    }

    private static EndpointId id(int i) {
        return new EndpointId("vm-" + i);
    }

    private static EndpointView view(int n) {
        EndpointView view = EndpointView.create(ViewSettings.defaults(), InstantSource.system());
        for (int i = 0; i < n; i++) {
            view.apply(
                    new EndpointRecord(
                            id(i),
                            new AvailabilityZone(String.valueOf("abcdefg".charAt(i % 7))),
                            InetSocketAddress.createUnresolved("10.0.0.1", 80),
                            "engine",
                            Set.of("m"),
                            "large",
                            true,
                            1,
                            true,
                            EndpointState.LIVE,
                            Optional.empty(),
                            Optional.empty()));
        }
        return view;
    }
}
