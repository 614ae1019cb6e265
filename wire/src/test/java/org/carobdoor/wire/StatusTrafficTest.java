package org.carobdoor.wire;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.internal.peers.StatusExchange;
import org.carobdoor.message.AccountUse;
import org.carobdoor.message.EndpointUse;
import org.carobdoor.message.NodeStatus;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.StatusBatch;
import org.carobdoor.message.UsageWindow;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against relays whose links are filled by the statuses that they forward, so that their
 * connections to the store and to endpoints take longer than their time-outs.
 */
final class StatusTrafficTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long STEP = 10_000_000L;
    private static final int ENDPOINTS = 64;
    private static final int ACCOUNTS = 16;
    private static final int BITS_PER_BYTE = 8;

    /** The rest is for requests, answers and the store. */
    private static final double LINK_FRACTION = 0.5;

    /** The same for slow links in zones that have fast ones. */
    private static final double SLOW_LINK_FRACTION = 0.2;

    private static final class Node {
        private final String name;
        private final AvailabilityZone zone;
        private final int linkMbps;
        private final StatusExchange exchange;
        private final Map<String, Long> granted = new TreeMap<>();
        private long nextNanos;
        private long bytes;

        Node(String name, AvailabilityZone zone, int linkMbps, long firstNanos) {
            this.name = name;
            this.zone = zone;
            this.linkMbps = linkMbps;
            this.exchange = StatusExchange.create(run(), zone, 0);
            this.nextNanos = firstNanos;
        }

        String run() {
            return NodeStatus.runOf(name, 1);
        }

        double linkShare(double seconds) {
            return bytes * BITS_PER_BYTE / (linkMbps * 1e6 * seconds);
        }
    }

    private final SplittableRandom random = new SplittableRandom(1);
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> byRun = new HashMap<>();
    private boolean nodesStart;

    private void addZone(String zone, int count, int linkMbps) {
        addNodes(zone, 1, count, linkMbps);
    }

    private void addNodes(String zone, int firstNumber, int count, int linkMbps) {
        for (int i = 0; i < count; i++) {
            Node n =
                    new Node(
                            "front-" + zone + "-" + (firstNumber + i),
                            new AvailabilityZone(zone),
                            linkMbps,
                            random.nextLong(SECOND / 3));
            nodes.add(n);
            byRun.put(n.run(), n);
        }
    }

    private void introduceNodes() {
        for (Node n : nodes) {
            n.exchange.setLink(n.run(), n.linkMbps);
            for (Node other : nodes) {
                if (n != other) {
                    n.exchange.add(other.run(), other.zone);
                    n.exchange.setLink(other.run(), other.linkMbps);
                }
            }
        }
    }

    /** The status of a node with work at nine endpoints and for a third of the accounts. */
    private NodeStatus status(Node n, long now) {
        List<AccountUse> accounts = new ArrayList<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            String account = "acct" + (100 + i);
            if (random.nextInt(3) == 0) {
                n.granted.merge(account, random.nextLong(9_000), Long::sum);
            }
            accounts.add(new AccountUse(account, n.granted.getOrDefault(account, 0L), List.of()));
        }
        Map<String, EndpointUse> uses = new TreeMap<>();
        for (int i = 0; i < 9; i++) {
            String id = String.format("i-%010x", 7_777_777_777L * (1 + random.nextInt(ENDPOINTS)));
            uses.put(id, new EndpointUse(id, 1 + random.nextInt(4), random.nextLong(20_000)));
        }
        Map<String, Long> counts = new TreeMap<>(n.granted);
        return new NodeStatus(
                n.name,
                1,
                n.zone.value(),
                now / 1_000_000,
                7,
                450,
                accounts,
                List.copyOf(uses.values()),
                List.of(new UsageWindow(355_554_064, counts)),
                Map.of("service-a", now / 1_000, "service-b", now / 3_000),
                0,
                0,
                true,
                false);
    }

    private void run(long fromNanos, long untilNanos) {
        for (long now = fromNanos; now < untilNanos; now += STEP) {
            for (Node n : nodes) {
                if (now >= n.nextNanos) {
                    n.nextNanos = now + n.exchange.intervalNanos();
                    send(n, now);
                }
            }
        }
    }

    private void send(Node from, long now) {
        Map<PeerMessage, Integer> sizes = new IdentityHashMap<>();
        for (StatusExchange.Outgoing o : from.exchange.next(status(from, now), nodesStart, now)) {
            from.bytes +=
                    sizes.computeIfAbsent(
                            o.message(),
                            m ->
                                    EnvelopeCompression.compress(
                                                    MessageCodec.encode(
                                                            1, Envelope.Kind.ONE_WAY, o.message()))
                                            .getSerializedSize());
            Node to = byRun.get(o.run());
            if (to == null) {
                continue;
            }
            if (o.message() instanceof StatusBatch batch) {
                to.exchange.receive(from.run(), batch, now);
            } else if (o.message() instanceof NodeStatus s) {
                to.exchange.receive(s, now);
            }
        }
    }

    /** Clusters with the smallest link of their VMs, in Mbit/s. */
    @ParameterizedTest
    @CsvSource({"62, 4, 7", "95, 5, 14"})
    void statusesLeaveHalfOfTheLinkOfARelay(int count, int zones, int linkMbps) {
        for (int z = 0; z < zones; z++) {
            addZone("zone-" + z, (count + z) / zones, linkMbps);
        }
        introduceNodes();
        run(0, 3 * SECOND);
        nodes.forEach(n -> n.bytes = 0);
        run(3 * SECOND, 8 * SECOND);
        for (Node n : nodes) {
            assertWithMessage("share of the link of %s, relay %s", n.name, n.exchange.isRelay())
                    .that(n.linkShare(5))
                    .isLessThan(LINK_FRACTION);
        }
    }

    /** Clusters whose zones have two nodes with 140 Mbit/s; the others have 7. */
    @ParameterizedTest
    @CsvSource({"62, 4", "65, 3"})
    void fastLinksCarryTheStatusesWhileAllNodesStart(int count, int zones) {
        for (int z = 0; z < zones; z++) {
            addNodes("zone-" + z, 1, 2, 140);
            addNodes("zone-" + z, 3, (count + z) / zones - 2, 7);
        }
        introduceNodes();
        nodesStart = true;
        for (int second = 0; second < 5; second++) {
            nodes.forEach(n -> n.bytes = 0);
            run(second * SECOND, (second + 1) * SECOND);
            for (Node n : nodes) {
                assertWithMessage("share of the link of %s in second %s", n.name, second)
                        .that(n.linkShare(1))
                        .isLessThan(n.linkMbps > 7 ? LINK_FRACTION : SLOW_LINK_FRACTION);
            }
        }
    }
}
