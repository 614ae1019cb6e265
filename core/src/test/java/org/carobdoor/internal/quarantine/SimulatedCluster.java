package org.carobdoor.internal.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.carobdoor.message.CrashId;
import org.carobdoor.message.CrashReport;
import org.carobdoor.message.FeatureClearance;
import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.QuarantineMessage;
import org.carobdoor.message.QuarantineNotice;
import org.carobdoor.message.RequestFeature;
import org.carobdoor.message.RequestFeature.Kind;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.message.RequestPattern;

/**
 * A cluster of nodes in front of endpoints, of which each crashes when it begins to answer a
 * request with a deadly feature. Messages between nodes are delayed, lost and duplicated; nodes
 * restart and zones are cut off; endpoints also crash for other reasons.
 */
final class SimulatedCluster {
    static final long MILLI = 1_000_000L;
    static final RequestFeature DEADLY = part(0xdead);

    /** Time without a disruption after which the platform's bounds hold for a node. */
    static final long CONTACT_NANOS = 3_000 * MILLI;

    private static final long DIGEST_DELAY_NANOS = 1_500 * MILLI;
    private static final long STORE_STEP_NANOS = 250 * MILLI;

    private record Stored(QuarantineEntry entry, long revision) {}

    private record Event(long atNanos, long order, Runnable task) {}

    /** A request at an endpoint whose answer has not begun. */
    private final class Waiting {
        final int node;
        final RequestFeatures features;
        boolean abandoned;

        Waiting(int node, RequestFeatures features) {
            this.node = node;
            this.features = features;
        }
    }

    /** An endpoint with the requests whose answers have not begun. */
    final class Endpoint {
        final String id;
        final Map<Waiting, Boolean> waiting = new HashMap<>();
        boolean up = true;
        int crashes;

        Endpoint(String id) {
            this.id = id;
        }
    }

    final Random random;
    final List<CrashQuarantine> nodes = new ArrayList<>();
    final List<Endpoint> endpoints = new ArrayList<>();
    final int zones;

    /** Deadly requests that were sent by nodes without a recent disruption, by time. */
    final List<Long> deadlySends = new ArrayList<>();

    /** Crashes caused by a request, by time. */
    final List<Long> requestCrashes = new ArrayList<>();

    double lossRate = 0.02;
    double duplicateRate = 0.05;
    long maxDelayNanos = 4 * MILLI;
    long answerNanos = 100 * MILLI;
    long awayNanos = 3_300 * MILLI;

    /** Time after its begin at which an answer counts as one that the endpoint did not crash on. */
    long survivalNanos = 100 * MILLI;

    boolean storeReachable = true;
    int messages;
    int soundRequests;
    int soundRefused;
    int soundRetriesDenied;
    int reportsSent;

    /** The zone that is cut off from the others and the store; -1 for none. */
    private int cutZone = -1;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Map<RequestPattern, Stored> store = new HashMap<>();
    private final Map<Integer, Long> disruptedNanos = new HashMap<>();
    private final Map<Waiting, Integer> retries = new HashMap<>();
    private long revision;
    private long order;
    private long nextOwn = 1_000_000;
    private long now;

    SimulatedCluster(long seed, int nodeCount, int endpointCount, int zones) {
        this.random = new Random(seed);
        this.zones = zones;
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(CrashQuarantine.create("n" + i, random));
        }
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add(new Endpoint("i-" + i));
        }
        schedule(STORE_STEP_NANOS, this::writeToStore);
        schedule(DIGEST_DELAY_NANOS, this::compareDigests);
    }

    static RequestFeature part(long id) {
        return new RequestFeature(Kind.PROMPT_PART, id);
    }

    long now() {
        return now;
    }

    void schedule(long delayNanos, Runnable task) {
        events.add(new Event(now + delayNanos, order++, task));
    }

    /** Runs {@code task} at intervals that average {@code meanNanos}, until {@code untilNanos}. */
    void repeat(double meanNanos, long untilNanos, Runnable task) {
        long delay = (long) (-Math.log(1 - random.nextDouble()) * meanNanos);
        if (now + delay < untilNanos) {
            schedule(
                    delay,
                    () -> {
                        task.run();
                        repeat(meanNanos, untilNanos, task);
                    });
        }
    }

    void runUntil(long nanos) {
        while (!events.isEmpty() && events.peek().atNanos <= nanos) {
            Event e = events.poll();
            now = e.atNanos;
            e.task.run();
        }
        now = nanos;
    }

    int zone(int node) {
        return node % zones;
    }

    /** Returns whether a node was not restarted and reached the store for the contact time. */
    private boolean isInTouch(int node) {
        Long disrupted = disruptedNanos.get(node);
        return reachesStore(node) && (disrupted == null || now - disrupted > CONTACT_NANOS);
    }

    /** Cuts a zone off from the others and the store; -1 ends the cut. */
    void cut(int zone) {
        for (int i = 0; i < nodes.size(); i++) {
            if (zone(i) == cutZone || zone(i) == zone) {
                disruptedNanos.put(i, now);
            }
        }
        cutZone = zone;
    }

    private boolean connected(int a, int b) {
        return (zone(a) == cutZone) == (zone(b) == cutZone);
    }

    private boolean reachesStore(int node) {
        return storeReachable && zone(node) != cutZone;
    }

    private long clusterMillis() {
        return 1_000_000_000L + now / MILLI;
    }

    /** Returns a request with its own last part. */
    RequestFeatures request(RequestFeature... shared) {
        return new RequestFeatures(List.of(shared), part(nextOwn++));
    }

    /** A request arrives at a random node; each attempt uses a different endpoint. */
    void arrive(RequestFeatures features, int maxAttempts) {
        arriveAt(random.nextInt(nodes.size()), features, maxAttempts);
    }

    void arriveAt(int node, RequestFeatures features, int maxAttempts) {
        boolean deadly = features.all().contains(DEADLY);
        soundRequests += deadly ? 0 : 1;
        QuarantineDecision d = nodes.get(node).decide(features, now, clusterMillis());
        if (d instanceof QuarantineDecision.Refused) {
            soundRefused += deadly ? 0 : 1;
            return;
        }
        send(node, features, d instanceof QuarantineDecision.Trial ? 1 : maxAttempts);
    }

    private void send(int node, RequestFeatures features, int attempts) {
        List<Endpoint> up = endpoints.stream().filter(e -> e.up && reachable(node, e)).toList();
        if (up.isEmpty()) {
            return;
        }
        Endpoint e = up.get(random.nextInt(up.size()));
        if (features.all().contains(DEADLY) && isInTouch(node)) {
            deadlySends.add(now);
        }
        Waiting w = new Waiting(node, features);
        e.waiting.put(w, true);
        retries.put(w, attempts - 1);
        long delay = answerNanos / 2 + (long) (random.nextDouble() * answerNanos);
        schedule(delay, () -> answer(e, w));
    }

    private boolean reachable(int node, Endpoint e) {
        int zone = endpoints.indexOf(e) % zones;
        return (zone == cutZone) == (zone(node) == cutZone);
    }

    private void answer(Endpoint e, Waiting w) {
        if (e.waiting.remove(w) == null) {
            return;
        }
        if (w.features.all().contains(DEADLY)) {
            e.waiting.put(w, true);
            requestCrashes.add(now);
            crash(List.of(e));
            return;
        }
        retries.remove(w);
        CrashQuarantine q = nodes.get(w.node);
        long begun = now;
        int crashes = e.crashes;
        schedule(
                survivalNanos,
                () -> {
                    if (e.crashes == crashes && nodes.get(w.node) == q) {
                        q.recordAnswer(w.features, begun, now).forEach(c -> broadcast(w.node, c));
                    }
                });
    }

    /** Crashes endpoints at the same moment; their nodes see it within a millisecond. */
    void crash(List<Endpoint> crashed) {
        for (Endpoint e : crashed) {
            e.up = false;
            e.crashes++;
            schedule(awayNanos, () -> e.up = true);
            Map<Integer, List<Waiting>> byNode = new HashMap<>();
            for (Waiting w : e.waiting.keySet()) {
                byNode.computeIfAbsent(w.node, n -> new ArrayList<>()).add(w);
            }
            e.waiting.clear();
            byNode.forEach(
                    (node, list) ->
                            schedule(random.nextLong(MILLI), () -> handleCrash(node, e, list)));
        }
    }

    private void handleCrash(int node, Endpoint e, List<Waiting> broken) {
        CrashQuarantine q = nodes.get(node);
        for (Waiting w : broken) {
            int attempts = retries.getOrDefault(w, 0);
            retries.remove(w);
            if (attempts > 0 && !w.abandoned) {
                if (q.isSuspect(w.features, now)) {
                    soundRetriesDenied += w.features.all().contains(DEADLY) ? 0 : 1;
                } else {
                    send(node, w.features, attempts);
                }
            }
        }
        CrashId crash = new CrashId(e.id, clusterMillis());
        q.report(crash, broken.stream().map(w -> w.features).toList(), now)
                .ifPresent(
                        r -> {
                            reportsSent++;
                            broadcast(node, r);
                            List<QuarantineEntry> added = q.applyOwn(r, now, clusterMillis());
                            if (!added.isEmpty()) {
                                broadcast(node, new QuarantineNotice(added));
                                abandonQuarantined(node);
                            }
                        });
    }

    private void abandonQuarantined(int node) {
        for (Endpoint e : endpoints) {
            e.waiting
                    .keySet()
                    .removeIf(w -> w.node == node && nodes.get(node).find(w.features).isPresent());
        }
    }

    /** Sends a message to all other nodes twice, as the daemon does. */
    private void broadcast(int from, QuarantineMessage m) {
        sendToAll(from, m);
        schedule(300 * MILLI, () -> sendToAll(from, m));
    }

    private void sendToAll(int from, QuarantineMessage m) {
        for (int to = 0; to < nodes.size(); to++) {
            if (to != from) {
                deliver(from, to, m);
                if (random.nextDouble() < duplicateRate) {
                    deliver(from, to, m);
                }
            }
        }
    }

    private void deliver(int from, int to, QuarantineMessage m) {
        messages++;
        if (!connected(from, to) || random.nextDouble() < lossRate) {
            return;
        }
        CrashQuarantine q = nodes.get(to);
        schedule(
                MILLI + (long) (random.nextDouble() * maxDelayNanos),
                () -> {
                    if (nodes.get(to) == q) {
                        receive(q, m);
                        abandonQuarantined(to);
                    }
                });
    }

    private void receive(CrashQuarantine q, QuarantineMessage m) {
        switch (m) {
            case CrashReport r -> q.apply(r, now, clusterMillis());
            case FeatureClearance c -> q.apply(c, now);
            case QuarantineNotice n -> q.apply(n, now);
        }
    }

    private void compareDigests() {
        for (int a = 0; a < nodes.size(); a++) {
            int b = random.nextInt(nodes.size());
            CrashQuarantine q = nodes.get(a);
            if (connected(a, b) && !q.isEmpty() && q.digest() != nodes.get(b).digest()) {
                deliver(a, b, new QuarantineNotice(q.entries()));
            }
        }
        schedule(DIGEST_DELAY_NANOS, this::compareDigests);
    }

    private void writeToStore() {
        for (int i = 0; i < nodes.size(); i++) {
            CrashQuarantine q = nodes.get(i);
            for (QuarantineStoreStep s : q.dueSteps(now, clusterMillis())) {
                if (reachesStore(i) && apply(s)) {
                    q.stepWritten(s, revision, now);
                }
            }
        }
        for (int i = 0; i < nodes.size(); i++) {
            if (reachesStore(i)) {
                readStore(nodes.get(i));
            }
        }
        schedule(STORE_STEP_NANOS, this::writeToStore);
    }

    private boolean apply(QuarantineStoreStep step) {
        Stored stored = store.get(step.pattern());
        long current = stored == null ? 0 : stored.revision;
        boolean written =
                switch (step) {
                    case QuarantineStoreStep.Create c -> current == 0;
                    case QuarantineStoreStep.Update u -> current == u.revision();
                    case QuarantineStoreStep.Delete d -> current == d.revision();
                };
        if (!written) {
            return false;
        }
        revision++;
        switch (step) {
            case QuarantineStoreStep.Create(QuarantineEntry e) -> put(e);
            case QuarantineStoreStep.Update(QuarantineEntry e, long replaced) -> put(e);
            case QuarantineStoreStep.Delete(RequestPattern p, long replaced) -> lift(p);
        }
        return true;
    }

    private void put(QuarantineEntry e) {
        store.put(e.pattern(), new Stored(e, revision));
    }

    /** Deletes an entry, as an operator does. */
    void lift(RequestPattern pattern) {
        revision++;
        store.remove(pattern);
    }

    private void readStore(CrashQuarantine q) {
        store.values().forEach(s -> q.put(s.entry, s.revision, now));
        q.removeMissing(new HashSet<>(store.keySet()), revision, now);
    }

    Set<RequestPattern> stored() {
        return Set.copyOf(store.keySet());
    }

    /** Replaces a node; it reads the store before it takes requests. */
    void restart(int node) {
        disruptedNanos.put(node, now);
        CrashQuarantine q = CrashQuarantine.create("n" + node + "-" + now, random);
        nodes.set(node, q);
        if (reachesStore(node)) {
            readStore(q);
        }
        for (Endpoint e : endpoints) {
            e.waiting.keySet().removeIf(w -> w.node == node);
        }
    }

    /** Returns how many deadly requests were sent later than {@code delay} after the n-th crash. */
    long deadlySendsAfter(int crashes, long delayNanos) {
        if (requestCrashes.size() < crashes) {
            return 0;
        }
        long bound = requestCrashes.get(crashes - 1) + delayNanos;
        return deadlySends.stream().filter(t -> t > bound).count();
    }

    /** Crashes up to {@code max} endpoints at the same moment, whatever they were asked. */
    void crashSome(int max) {
        int first = random.nextInt(endpoints.size());
        int end = Math.min(endpoints.size(), first + 1 + random.nextInt(max));
        crash(endpoints.subList(first, end).stream().filter(e -> e.up).toList());
    }

    boolean allNodes(Predicate<CrashQuarantine> condition) {
        return nodes.stream().allMatch(condition);
    }
}
