package org.carobdoor.internal.placement;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.capacity.CapacityModel;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.message.EndpointEvidence;

/**
 * Plays requests of a plain service through the decisions of many nodes, which hear of each other's
 * load and evidence one interval late. No network, no clock.
 */
final class StaleNewsPlay {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");
    private static final long INTERVAL = 660_000_000L;
    private static final double WORK_MILLIS = 50;

    /** The time of a request at an endpoint as a multiple of its work. */
    interface Slowness {
        double factor(int endpoint, double seconds, double load);
    }

    /**
     * What callers got.
     *
     * @param inAim the share of requests answered within the objective
     * @param turnedAway the share that found a full endpoint
     * @param worstOvershoot the most requests of an endpoint in an interval, relative to the mean
     * @param shareOfThird the share of requests sent to every third endpoint
     */
    record Result(double inAim, double turnedAway, double worstOvershoot, double shareOfThird) {}

    private record Event(long atNanos, int endpoint, Request request) {}

    private record Request(int node, double workMillis, long sentNanos, double load) {}

    private final class Server {
        private final int index;
        private final Queue<Request> queue = new ArrayDeque<>();
        private int running;

        Server(int index) {
            this.index = index;
        }

        void startNext(long now) {
            while (running < slots && !queue.isEmpty()) {
                Request r = queue.remove();
                running++;
                double factor = slowness.factor(index, now / 1e9, running / (double) slots);
                long end = now + (long) (r.workMillis * factor * 1e6);
                events.add(new Event(end, index, r));
            }
        }
    }

    private final boolean learned;
    private final int nodes;
    private final int slots;
    private final Slowness slowness;
    private final SplittableRandom random;
    private final List<List<EndpointLoad>> loads = new ArrayList<>();
    private final List<CapacityModel> models = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> Long.compare(a.atNanos, b.atNanos));
    private int[][] reported;
    private int[][] remote;
    private List<List<EndpointEvidence>> evidence = new ArrayList<>();
    private final int[] arrivals;
    private double worstOvershoot;
    private int inAim;
    private int turnedAway;
    private int toThird;
    private int total;

    StaleNewsPlay(
            boolean learned, int nodes, int endpoints, int slots, Slowness slowness, long seed) {
        this.learned = learned;
        this.nodes = nodes;
        this.slots = slots;
        this.slowness = slowness;
        random = new SplittableRandom(seed);
        arrivals = new int[endpoints];
        reported = new int[nodes][endpoints];
        remote = new int[nodes][endpoints];
        for (int e = 0; e < endpoints; e++) {
            servers.add(new Server(e));
        }
        for (int n = 0; n < nodes; n++) {
            List<EndpointLoad> own = new ArrayList<>();
            CapacityModel model = CapacityModel.create();
            for (int e = 0; e < endpoints; e++) {
                EndpointEntry entry = entry(e);
                own.add(EndpointLoad.create(entry, 0, 0));
                model.update(entry, 0);
            }
            loads.add(own);
            models.add(model);
        }
    }

    private EndpointEntry entry(int index) {
        return new EndpointEntry(
                new EndpointId("i-" + index),
                "api",
                new InetSocketAddress("127.0.0.1", 9),
                ZONE,
                true,
                slots,
                0,
                1,
                0,
                false,
                OptionalLong.empty());
    }

    /**
     * Plays {@code perSecond} requests until {@code seconds}, and counts those after {@code from}.
     */
    Result run(double perSecond, double from, double seconds, double aimMillis) {
        long now = 0;
        long tick = INTERVAL;
        long end = (long) (seconds * 1e9);
        while (now < end) {
            now += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
            while (tick <= now) {
                finishUntil(tick, from, aimMillis);
                exchange(tick, perSecond, tick >= from * 1e9);
                tick += INTERVAL;
            }
            finishUntil(now, from, aimMillis);
            arrive(now, from);
        }
        finishUntil(Long.MAX_VALUE, from, aimMillis);
        return new Result(
                (double) inAim / total,
                (double) turnedAway / total,
                worstOvershoot,
                (double) toThird / total);
    }

    private void arrive(long now, double from) {
        int node = random.nextInt(nodes);
        List<EndpointLoad> own = loads.get(node);
        double work = WORK_MILLIS * (0.5 + random.nextDouble());
        Placement placement =
                learned
                        ? LearnedPlainPlacement.choose(
                                own,
                                WORK_MILLIS,
                                new DecisionView(ZONE, z -> 0, 1_000, nodes, random, now),
                                2_000)
                        : PlainPlacement.choose(own, ZONE, 2_000, now);
        boolean counted = now >= from * 1e9;
        total += counted ? 1 : 0;
        if (!(placement instanceof Placement.Chosen chosen)) {
            turnedAway += counted ? 1 : 0;
            return;
        }
        int index = own.indexOf(chosen.endpoint());
        arrivals[index]++;
        Server server = servers.get(index);
        if (server.queue.size() >= 4 * slots) {
            turnedAway += counted ? 1 : 0;
            return;
        }
        toThird += counted && index % 3 == 0 ? 1 : 0;
        chosen.endpoint().recordSent(0, 0, now);
        double load = chosen.endpoint().totalRunning() / (double) slots;
        server.queue.add(new Request(node, work, now, load));
        server.startNext(now);
    }

    private void finishUntil(long until, double from, double aimMillis) {
        while (!events.isEmpty() && events.peek().atNanos <= until) {
            Event e = events.remove();
            Server server = servers.get(e.endpoint);
            server.running--;
            server.startNext(e.atNanos);
            Request r = e.request;
            EndpointLoad load = loads.get(r.node).get(e.endpoint);
            double loadNow = load.totalRunning() / (double) slots;
            load.recordEnded(0, 0);
            load.recordActivity(e.atNanos);
            double millis = (e.atNanos - r.sentNanos) / 1e6;
            load.updateAnswerTime(millis);
            models.get(r.node)
                    .record(
                            "i-" + e.endpoint,
                            Math.max(r.load, loadNow),
                            WORK_MILLIS,
                            millis,
                            e.atNanos);
            inAim += r.sentNanos >= from * 1e9 && millis <= aimMillis ? 1 : 0;
        }
    }

    /** Delivers what the nodes have reported one interval ago. */
    private void exchange(long now, double perSecond, boolean counted) {
        double mean = perSecond * INTERVAL / 1e9 / arrivals.length;
        int[][] next = new int[nodes][arrivals.length];
        for (int e = 0; e < arrivals.length; e++) {
            worstOvershoot = Math.max(worstOvershoot, counted ? arrivals[e] / mean : 0);
            arrivals[e] = 0;
            int sum = 0;
            for (int n = 0; n < nodes; n++) {
                sum += reported[n][e];
                next[n][e] = loads.get(n).get(e).running();
            }
            for (int n = 0; n < nodes; n++) {
                int others = sum - reported[n][e];
                loads.get(n).get(e).addRemoteWork(others - remote[n][e], 0);
                remote[n][e] = others;
            }
        }
        reported = next;
        List<List<EndpointEvidence>> sent = new ArrayList<>();
        for (int n = 0; n < nodes; n++) {
            sent.add(models.get(n).nextEvidence());
            for (int from = 0; from < evidence.size(); from++) {
                if (from != n) {
                    models.get(n).receive("n-" + from, evidence.get(from), now);
                }
            }
            models.get(n).refresh(now);
            for (int e = 0; e < arrivals.length; e++) {
                models.get(n).capacity("i-" + e).ifPresent(loads.get(n).get(e)::setCapacity);
            }
        }
        evidence = sent;
    }
}
