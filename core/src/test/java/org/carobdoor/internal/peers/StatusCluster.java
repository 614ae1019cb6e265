package org.carobdoor.internal.peers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.message.EndpointUse;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.StatusBatch;
import org.jspecify.annotations.Nullable;

/** Nodes that exchange statuses on links of some milliseconds, driven by a queue of events. */
final class StatusCluster {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;

    private record Event(long atNanos, long order, Runnable action) {}

    /** A node, and what it knows of the others. */
    static final class Node {
        final String name;
        final AvailabilityZone zone;

        /** The bandwidth of its link; negative if its release does not know links. */
        int linkMbps;

        final Map<String, Long> heardNanos = new HashMap<>();
        final Map<String, Map<String, Integer>> loads = new HashMap<>();
        final Map<String, Integer> ownLoads = new TreeMap<>();
        StatusExchange exchange;
        String run;
        int restarts;
        long frozenUntilNanos;
        boolean down;
        long sent;

        Node(String name, AvailabilityZone zone, int linkMbps) {
            this.name = name;
            this.zone = zone;
            this.linkMbps = linkMbps;
            this.run = NodeStatus.runOf(name, 1);
            this.exchange = StatusExchange.create(run, zone, 0);
        }
    }

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atNanos != b.atNanos
                                    ? Long.compare(a.atNanos, b.atNanos)
                                    : Long.compare(a.order, b.order));
    final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> byRun = new HashMap<>();
    final Random random;
    BiPredicate<Node, Node> cut = (a, b) -> false;
    double loss;
    private boolean changing = true;
    private long order;
    long now;

    StatusCluster(int count, int zones, long seed) {
        this(count, zones, 0, seed);
    }

    /** Creates a cluster whose zones have {@code fast} nodes with faster links each. */
    StatusCluster(int count, int zones, int fast, long seed) {
        random = new Random(seed);
        for (int i = 0; i < count; i++) {
            int link = i < zones * fast ? 140 : 7;
            Node n = new Node("n" + i, new AvailabilityZone("z" + i % zones), link);
            nodes.add(n);
            byRun.put(n.run, n);
        }
        nodes.forEach(n -> nodes.forEach(other -> list(n, other)));
        nodes.forEach(n -> at(random.nextInt(300) * MILLI, () -> tick(n, n.run)));
    }

    /** Lets nodes run a release that neither states links nor knows those of others. */
    void installReleaseWithoutLinks(List<Node> earlier) {
        for (Node n : earlier) {
            n.linkMbps = -1;
        }
        for (Node n : nodes) {
            n.exchange = StatusExchange.create(n.run, n.zone, now);
            nodes.forEach(other -> list(n, other));
        }
    }

    private void list(Node at, Node other) {
        if (at.linkMbps >= 0 && other.linkMbps >= 0) {
            at.exchange.setLink(other.run, other.linkMbps);
        }
        if (at != other) {
            at.exchange.add(other.run, other.zone);
        }
    }

    void at(long nanos, Runnable action) {
        events.add(new Event(nanos, order++, action));
    }

    void run(long untilNanos) {
        while (!events.isEmpty() && events.peek().atNanos <= untilNanos) {
            Event e = events.poll();
            now = e.atNanos;
            e.action.run();
        }
        now = untilNanos;
    }

    void tick(Node n, String run) {
        if (n.down || !n.run.equals(run)) {
            return;
        }
        if (n.frozenUntilNanos > now) {
            at(n.frozenUntilNanos, () -> tick(n, run));
            return;
        }
        if (changing) {
            changeLoads(n);
        }
        List<EndpointUse> uses = new ArrayList<>();
        n.ownLoads.forEach((id, running) -> uses.add(new EndpointUse(id, running, running)));
        NodeStatus status =
                new NodeStatus(
                        n.name,
                        1 + n.restarts,
                        n.zone.value(),
                        now / MILLI,
                        0,
                        0,
                        List.of(),
                        uses,
                        List.of(),
                        Map.of(),
                        0,
                        0,
                        true,
                        false);
        for (StatusExchange.Outgoing o : n.exchange.next(status, false, now)) {
            n.sent++;
            send(n, byRun.get(o.run()), o.run(), o.message());
        }
        at(now + n.exchange.intervalNanos(), () -> tick(n, run));
    }

    /** A node has work at a few endpoints, which come and go. */
    private void changeLoads(Node n) {
        n.ownLoads.merge("e" + random.nextInt(40), 1 + random.nextInt(3), Integer::sum);
        if (n.ownLoads.size() > 4) {
            n.ownLoads.remove(n.ownLoads.keySet().iterator().next());
        }
    }

    private void send(Node from, @Nullable Node to, String toRun, PeerMessage message) {
        if (to == null || cut.test(from, to) || random.nextDouble() < loss) {
            return;
        }
        String fromRun = from.run;
        at(now + (1 + random.nextInt(4)) * MILLI, () -> deliver(fromRun, to, toRun, message));
    }

    private void deliver(String from, Node to, String toRun, PeerMessage message) {
        if (to.down || !to.run.equals(toRun)) {
            return;
        }
        if (to.frozenUntilNanos > now) {
            at(to.frozenUntilNanos, () -> deliver(from, to, toRun, message));
            return;
        }
        if (message instanceof StatusBatch batch) {
            to.exchange.receive(from, batch, now).forEach(r -> apply(to, r));
        } else if (message instanceof NodeStatus status) {
            to.exchange.receive(status, now).ifPresent(r -> apply(to, r));
        }
    }

    private void apply(Node at, StatusExchange.Received received) {
        NodeStatus s = received.status();
        // The times that relays add make up for the time on the way. A frozen relay forwards
        // what
        // has arrived meanwhile, whose times ClusterClock takes as lower bounds.
        if (nodes.stream().noneMatch(n -> n.frozenUntilNanos > 0)) {
            assertThat(s.timeMillis()).isAtLeast(now / MILLI - 20);
        }
        at.heardNanos.put(s.node(), now);
        if (!received.usable()) {
            return;
        }
        Map<String, Integer> loads = at.loads.computeIfAbsent(s.run(), r -> new HashMap<>());
        if (s.isComplete()) {
            loads.clear();
        }
        for (EndpointUse u : s.endpoints()) {
            if (u.running() == 0) {
                loads.remove(u.endpoint());
            } else {
                loads.put(u.endpoint(), u.running());
            }
        }
    }

    /** Removes a node as the end of its lease does. */
    void unlist(Node n) {
        nodes.forEach(other -> other.exchange.remove(n.run));
    }

    void restart(Node n) {
        byRun.remove(n.run);
        String ended = n.run;
        n.restarts++;
        n.down = false;
        n.run = NodeStatus.runOf(n.name, 1 + n.restarts);
        n.exchange = StatusExchange.create(n.run, n.zone, now);
        n.heardNanos.clear();
        n.loads.clear();
        byRun.put(n.run, n);
        nodes.forEach(other -> list(n, other));
        // The others learn from the store that the earlier run has ended.
        at(
                now + SECOND,
                () ->
                        nodes.forEach(
                                other -> {
                                    if (other != n) {
                                        other.exchange.remove(ended);
                                        list(other, n);
                                    }
                                }));
        tick(n, n.run);
    }

    /** Returns the longest time for which a node has not heard another one, in nanoseconds. */
    long oldestNews(Set<Node> of) {
        long oldest = 0;
        for (Node n : of) {
            for (Node other : of) {
                if (n != other) {
                    oldest = Math.max(oldest, now - n.heardNanos.getOrDefault(other.name, 0L));
                }
            }
        }
        return oldest;
    }

    long maxAgeNanos() {
        return StatusInterval.nanos(nodes.size()) + 50 * MILLI;
    }

    /** Returns the nodes that send several times as many messages as the others. */
    List<Node> relays() {
        double mean = nodes.stream().mapToLong(n -> n.sent).average().orElse(0);
        return nodes.stream().filter(n -> n.sent > 1.5 * mean).toList();
    }

    Set<Node> all() {
        return new HashSet<>(nodes);
    }

    /** Stops all changes, and checks that every node knows the load of every other one. */
    void assertLoadsKnown(Set<Node> of) {
        Map<String, Map<String, Integer>> actual = new HashMap<>();
        of.forEach(n -> actual.put(n.run, new TreeMap<>(n.ownLoads)));
        for (Node n : of) {
            for (Node other : of) {
                if (n != other) {
                    Map<String, Integer> known = n.loads.getOrDefault(other.run, Map.of());
                    assertWithMessage("%s at %s", other.run, n.run)
                            .that(known)
                            .isEqualTo(actual.get(other.run));
                }
            }
        }
    }

    /** Lets statuses without further changes arrive everywhere. */
    void settle() {
        changing = false;
        run(now + 15 * StatusInterval.sendNanos(nodes.size()));
    }
}
