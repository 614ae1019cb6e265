package org.carobdoor.internal.peers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.carobdoor.Bytes;
import org.carobdoor.internal.store.NewsFollower;
import org.carobdoor.internal.store.NewsOutcome;
import org.carobdoor.internal.store.PrefixCopy;
import org.carobdoor.internal.store.StoreChange;
import org.carobdoor.internal.store.StoreItem;
import org.carobdoor.internal.store.WatchMode;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.StoreNews;
import org.junit.jupiter.api.Test;

/**
 * Plays 132 nodes of three zones against one store, and guards the bound: a node that reaches the
 * store knows each change within two seconds, whatever happens to the readers.
 */
final class StoreReadersTest {
    private static final long MILLI = 1_000_000L;
    private static final long BOUND_MILLIS = 2_000;

    private static final class Cluster {
        private record Event(long at, long order, Runnable task) {}

        private final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        private final Map<String, Node> nodes = new LinkedHashMap<>();
        private final List<StoreChange> history = new ArrayList<>();
        private final List<Long> writtenAt = new ArrayList<>();
        private final List<Runnable> waiting = new ArrayList<>();
        private final RandomGenerator random = RandomGenerator.getDefault();
        private double lossRate;
        private long now;
        private long order;
        private long calls;

        Cluster(int count) {
            for (int i = 0; i < count; i++) {
                String run = NodeStatus.runOf("front-" + i, 1);
                nodes.put(run, new Node(this, run, i % 3));
            }
            write();
            nodes.values().forEach(n -> at(random.nextInt(300), n::start));
        }

        Node node(String run) {
            return requireNonNull(nodes.get(run));
        }

        void at(long delayMillis, Runnable task) {
            events.add(new Event(now + delayMillis * MILLI, order++, task));
        }

        void write() {
            long revision = history.size() + 1;
            String key = "servers/" + random.nextInt(60);
            history.add(
                    random.nextInt(3) == 0
                            ? new StoreChange.Deleted(key, revision)
                            : new StoreChange.Written(
                                    new StoreItem(key, Bytes.utf8("x"), revision)));
            writtenAt.add(now);
            List<Runnable> due = List.copyOf(waiting);
            waiting.clear();
            due.forEach(Runnable::run);
        }

        /** Runs with a change every {@code gapMillis}, checking the bound at each node. */
        void run(long millis, long gapMillis) {
            long end = now + millis * MILLI;
            for (long t = gapMillis; t < millis; t += gapMillis) {
                at(t, this::write);
            }
            for (long t = 0; t < millis; t += 50) {
                at(t, this::check);
            }
            while (!events.isEmpty() && events.peek().at <= end) {
                Event e = events.poll();
                now = e.at;
                e.task.run();
            }
        }

        private void check() {
            for (Node n : nodes.values()) {
                long known = n.copy.revision();
                if (n.inTouch() && known < history.size()) {
                    long age = now - Math.max(writtenAt.get((int) known), n.inTouchSince);
                    assertWithMessage("%s %s lacks %s", n.run, n.follower.mode(), known + 1)
                            .that(age / MILLI)
                            .isAtMost(BOUND_MILLIS);
                }
            }
        }

        List<Node> readersOf(int zone) {
            return nodes.values().stream()
                    .filter(n -> n.zone == zone && n.follower.mode() == WatchMode.READING)
                    .toList();
        }

        long count(WatchMode mode) {
            return nodes.values().stream().filter(n -> n.follower.mode() == mode).count();
        }

        double callsPerSecond(long millis) {
            long before = calls;
            run(millis, 250);
            return (calls - before) * 1_000.0 / millis;
        }
    }

    /** A node with one watch. Messages and replies that arrive while it is frozen wait. */
    private static final class Node {
        private final Cluster cluster;
        private final String run;
        private final int zone;
        private final PrefixCopy copy = PrefixCopy.create("servers/");
        private final NewsFollower follower = NewsFollower.create(RandomGenerator.getDefault());
        private final List<Runnable> held = new ArrayList<>();
        private StoreReaderPlan plan = StoreReaderPlan.NONE;
        private boolean dead;
        private boolean frozen;
        private boolean cutFromStore;
        private boolean cutFromPeers;
        private long inTouchSince;
        private long callNumber;
        private long pushed;
        private int ticks;

        Node(Cluster cluster, String run, int zone) {
            this.cluster = cluster;
            this.run = run;
            this.zone = zone;
        }

        boolean inTouch() {
            return !dead && !frozen && !cutFromStore && copy.isLoaded();
        }

        private void later(long millis, Runnable task) {
            cluster.at(millis, () -> receive(task));
        }

        private void receive(Runnable task) {
            if (frozen) {
                held.add(task);
            } else if (!dead) {
                task.run();
            }
        }

        void thaw() {
            frozen = false;
            inTouchSince = cluster.now;
            List<Runnable> due = List.copyOf(held);
            held.clear();
            due.forEach(Runnable::run);
        }

        void reconnect() {
            cutFromStore = false;
            inTouchSince = cluster.now;
        }

        void start() {
            cluster.calls++;
            Map<String, StoreItem> items = new LinkedHashMap<>();
            for (StoreChange c : cluster.history) {
                switch (c) {
                    case StoreChange.Written(StoreItem i) -> items.put(i.key(), i);
                    case StoreChange.Deleted(String key, long at) -> items.remove(key);
                }
            }
            copy.load(0, items.values(), cluster.history.size());
            watch();
            tick();
        }

        private void tick() {
            later(100, this::tick);
            if (ticks++ % 10 == 0) {
                Set<RelayPlan.Peer> others = new HashSet<>();
                Set<String> silent = new HashSet<>();
                for (Node n : cluster.nodes.values()) {
                    if (n != this && n.zone == zone) {
                        others.add(new RelayPlan.Peer(n.run, null, 0));
                        if (n.dead) {
                            silent.add(n.run);
                        }
                    }
                }
                plan = StoreReaderPlan.inZone(new RelayPlan.Peer(run, null, 0), others, silent);
                follower.assign(true, plan.reader());
            }
            WatchMode before = follower.mode();
            WatchMode mode = follower.next(cluster.now);
            if (before != WatchMode.READING && mode == WatchMode.READING) {
                pushed = copy.revision();
            }
            if (before == WatchMode.SERVED && mode != WatchMode.SERVED) {
                watch();
            } else if (mode == WatchMode.SERVED) {
                callNumber++;
            }
            follower.nextRequest(copy.revision(), cluster.now).ifPresent(this::request);
        }

        private void request(String from) {
            Node sender = cluster.node(from);
            long known = copy.revision();
            send(sender, () -> sender.send(this, sender.copy.newsAfter(known, 0)));
        }

        /** Watches as the gateway does: a reader waits briefly, another one up to a second. */
        private void watch() {
            if (follower.mode() == WatchMode.SERVED) {
                return;
            }
            long number = ++callNumber;
            cluster.calls++;
            boolean reading = follower.mode() == WatchMode.READING;
            long wait = reading ? 540 : 960;
            later(reading ? 900 : 1_600, () -> giveUp(number));
            long after = copy.revision();
            Runnable reply = () -> later(3, () -> reply(number, after));
            if (cutFromStore) {
                return;
            }
            if (after < cluster.history.size()) {
                cluster.at(3, reply);
            } else {
                boolean[] done = new boolean[1];
                Runnable once =
                        () -> {
                            if (!done[0]) {
                                done[0] = true;
                                reply.run();
                            }
                        };
                cluster.waiting.add(once);
                cluster.at(wait, once);
            }
        }

        private void giveUp(long number) {
            if (number == callNumber) {
                callNumber++;
                later(100, () -> rewatch(number + 1));
            }
        }

        private void rewatch(long number) {
            if (number == callNumber) {
                watch();
            }
        }

        private void reply(long number, long after) {
            if (number != callNumber || cutFromStore) {
                return;
            }
            long number2 = ++callNumber;
            int upTo = cluster.history.size();
            List<StoreChange> changes =
                    after < upTo ? cluster.history.subList((int) after, upTo) : List.of();
            copy.watched(List.copyOf(changes), upTo);
            if (follower.mode() == WatchMode.READING) {
                publish();
            }
            later(changes.isEmpty() ? 0 : 250, () -> rewatch(number2));
        }

        private void publish() {
            StoreNews changes = copy.newsAfter(pushed, 0);
            StoreNews revision = copy.newsAfter(Long.MAX_VALUE, 0);
            pushed = copy.revision();
            plan.served().forEach(r -> send(cluster.node(r), changes));
            plan.informed().forEach(r -> send(cluster.node(r), revision));
        }

        private void send(Node to, StoreNews news) {
            send(to, () -> to.news(run, news));
        }

        private void send(Node to, Runnable task) {
            boolean lost = cluster.random.nextDouble() < cluster.lossRate;
            if (!lost && !cutFromPeers && !to.cutFromPeers) {
                to.later(1 + cluster.random.nextInt(5), task);
            }
        }

        private void news(String from, StoreNews news) {
            long before = copy.revision();
            switch (copy.receive(news)) {
                case NewsOutcome.Gap g -> follower.recordGap(from, news.revision(), cluster.now);
                case NewsOutcome.Unusable u -> {}
                default ->
                        follower.recordProof(
                                copy.revision(),
                                cluster.now - TimeUnit.MILLISECONDS.toNanos(news.ageMillis()),
                                cluster.now);
            }
            assertThat(copy.revision()).isAtLeast(before);
        }
    }

    private static Cluster settled() {
        Cluster cluster = new Cluster(132);
        cluster.run(10_000, 250);
        assertThat(cluster.count(WatchMode.READING)).isEqualTo(6);
        assertThat(cluster.count(WatchMode.SERVED)).isEqualTo(126);
        return cluster;
    }

    @Test
    void callsGrowWithTheZonesAndNotWithTheNodes() {
        double at132 = settled().callsPerSecond(10_000);
        Cluster small = new Cluster(67);
        small.run(10_000, 250);
        double at67 = small.callsPerSecond(10_000);

        assertThat(at132).isLessThan(6 * 6.0);
        assertThat(at132).isWithin(4).of(at67);
    }

    @Test
    void readersOfAllZonesAreKilled() {
        Cluster cluster = settled();
        for (int zone = 0; zone < 3; zone++) {
            cluster.readersOf(zone).forEach(n -> n.dead = true);
        }
        cluster.run(12_000, 400);
        assertThat(cluster.count(WatchMode.SERVED)).isAtLeast(120);
    }

    @Test
    void oneReaderOfEachZoneIsKilledAndAnotherIsCutFromItsPeers() {
        Cluster cluster = settled();
        cluster.readersOf(0).getFirst().dead = true;
        cluster.readersOf(1).getFirst().cutFromPeers = true;
        cluster.readersOf(2).forEach(n -> n.cutFromPeers = true);
        cluster.run(8_000, 400);
    }

    @Test
    void readersAreFrozenForFiveSeconds() {
        Cluster cluster = settled();
        List<Node> frozen = new ArrayList<>(cluster.readersOf(0));
        frozen.add(cluster.readersOf(1).getLast());
        frozen.forEach(n -> n.frozen = true);
        cluster.at(5_000, () -> frozen.forEach(Node::thaw));
        cluster.run(15_000, 400);
        assertThat(cluster.count(WatchMode.SERVED)).isEqualTo(126);
    }

    @Test
    void readersAreCutFromTheStore() {
        Cluster cluster = settled();
        List<Node> cut = new ArrayList<>(cluster.readersOf(0));
        cut.add(cluster.readersOf(1).getFirst());
        cut.forEach(n -> n.cutFromStore = true);
        cluster.at(5_000, () -> cut.forEach(Node::reconnect));
        cluster.run(15_000, 400);
        assertThat(cluster.count(WatchMode.SERVED)).isEqualTo(126);
    }

    @Test
    void aThirdOfTheMessagesIsLost() {
        Cluster cluster = settled();
        cluster.lossRate = 0.33;
        cluster.run(10_000, 150);
    }

    @Test
    void aZoneIsCutFromTheStore() {
        Cluster cluster = settled();
        List<Node> cut = cluster.nodes.values().stream().filter(n -> n.zone == 1).toList();
        cut.forEach(n -> n.cutFromStore = true);
        cluster.at(5_500, () -> cut.forEach(Node::reconnect));
        cluster.run(15_000, 400);
    }
}
