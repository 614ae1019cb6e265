package org.carobdoor.node.replica;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.Bytes;
import org.carobdoor.NodeId;
import org.carobdoor.standins.fake.FakeKeyValueStore;
import org.carobdoor.wire.TcpPeerNetwork;

/** Nodes in several zones with loopback sockets and one key-value store. */
final class TestCluster implements AutoCloseable {
    final FakeKeyValueStore store = FakeKeyValueStore.create(1, InstantSource.system());
    final int speed;
    final List<TestNode> nodes = new CopyOnWriteArrayList<>();
    private final EventLoopGroup group = TcpPeerNetwork.newEventLoops();
    private final Set<AvailabilityZone> isolatedZones = ConcurrentHashMap.newKeySet();
    private final Map<InetSocketAddress, AvailabilityZone> zones = new ConcurrentHashMap<>();
    private long version;

    /** Uses a quarter of the production intervals and timeouts to keep the tests fast. */
    TestCluster(int size, int zoneCount) {
        this(size, zoneCount, 4);
    }

    TestCluster(int size, int zoneCount, int speed) {
        this.speed = speed;
        for (int i = 0; i < size; i++) {
            add("node-" + i, "zone-" + i % zoneCount);
        }
    }

    TestNode add(String id, String zone) {
        TestNode n = new TestNode(this, group, id, zone, nodes.size());
        zones.put(n.tcp.address(), n.zone);
        nodes.add(n);
        return n;
    }

    List<InetSocketAddress> seeds() {
        return nodes.stream().limit(3).map(n -> n.tcp.address()).toList();
    }

    TestNode node(NodeId id) {
        return nodes.stream().filter(n -> n.id.equals(id)).findFirst().orElseThrow();
    }

    List<TestNode> nodesIn(String zone) {
        return nodes.stream().filter(n -> n.zone.value().equals(zone)).toList();
    }

    /** Isolates a zone from the other zones and from the store. */
    void isolate(String zone) {
        isolatedZones.add(new AvailabilityZone(zone));
    }

    void reconnect() {
        isolatedZones.clear();
    }

    boolean isIsolated(AvailabilityZone zone) {
        return isolatedZones.contains(zone);
    }

    boolean connects(AvailabilityZone from, InetSocketAddress to) {
        AvailabilityZone target = zones.getOrDefault(to, from);
        return from.equals(target) || !(isIsolated(from) || isIsolated(target));
    }

    /** Writes the next version of an entry to the store and returns it. */
    long write(String name) {
        Instant deadline = Instant.now().plusSeconds(2);
        Bytes value = Bytes.utf8("version " + (version + 1));
        version =
                store.compareAndSet("catalogue/entries/" + name, version, value, deadline)
                        .orElseThrow();
        return version;
    }

    void awaitMembers() {
        await(
                "all nodes know each other",
                Duration.ofSeconds(20),
                () -> nodes.stream().allMatch(n -> n.membership.live().size() == nodes.size()));
    }

    void awaitRevision(String key, long revision, Duration limit) {
        await(
                key + " has revision " + revision + " everywhere",
                limit,
                () -> nodes.stream().allMatch(n -> n.revision(key) == revision));
    }

    static void await(String what, Duration limit, BooleanSupplier condition) {
        Instant end = Instant.now().plus(limit);
        boolean done = condition.getAsBoolean();
        while (!done && Instant.now().isBefore(end)) {
            java.util.concurrent.locks.LockSupport.parkNanos(5_000_000);
            done = condition.getAsBoolean();
        }
        assertWithMessage(what).that(done).isTrue();
    }

    @Override
    public void close() {
        nodes.forEach(TestNode::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
