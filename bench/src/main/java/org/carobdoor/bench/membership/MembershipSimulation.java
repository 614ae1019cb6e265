package org.carobdoor.bench.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.NodeId;
import org.carobdoor.internal.membership.Datagram;
import org.carobdoor.internal.membership.MemberRecord;
import org.carobdoor.internal.membership.MemberStatus;
import org.carobdoor.internal.membership.Membership;
import org.carobdoor.internal.membership.MembershipAction;
import org.carobdoor.internal.membership.MembershipSettings;
import org.carobdoor.wire.ProbeCodec;

/**
 * Runs membership state machines on a simulated clock. Every datagram is encoded, signed, verified
 * and decoded, and each node counts the time that it spends on this.
 */
final class MembershipSimulation implements InstantSource {
    /** The key id and MAC of {@code UdpProbeTransport}, plus the UDP and IPv4 headers. */
    private static final int DATAGRAM_OVERHEAD_BYTES = 20 + 28;

    private static final int ZONES = 7;
    private static final int ZONES_PER_REGION = 3;
    private static final long CROSS_REGION_DELAY_MICROS = 40_000;
    private static final long SAME_REGION_DELAY_MICROS = 500;

    /** A simulated node with its traffic and CPU time counters. */
    static final class Node {
        final Membership membership;
        final int zone;
        boolean up = true;
        long bytesSent;
        long bytesReceived;
        long datagramsSent;
        long processingNanos;

        Node(Membership membership, int zone) {
            this.membership = membership;
            this.zone = zone;
        }
    }

    private record Event(Instant at, long order, Runnable run) {}

    private final List<Node> nodes = new ArrayList<>();
    private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::order));
    private final SplittableRandom random;
    private final Mac mac;
    private double lossProbability;
    private long falsePositives;

    /** Consumes the computed MACs, so that the JIT compiler cannot eliminate the computation. */
    private long macSink;

    private Instant now = Instant.EPOCH;
    private long order;

    MembershipSimulation(int size, long seed) throws GeneralSecurityException {
        random = new SplittableRandom(seed);
        mac = Mac.getInstance("HmacSHA256");
        mac.init(new SecretKeySpec(new byte[32], "HmacSHA256"));
        List<InetSocketAddress> seeds = IntStream.range(0, 3).mapToObj(i -> address(i)).toList();
        for (int i = 0; i < size; i++) {
            int zone = i % ZONES;
            MemberRecord self =
                    MemberRecord.started(
                            new NodeId("entry-" + i + "-0123456789ab"),
                            new AvailabilityZone("region-" + zone / ZONES_PER_REGION + "-" + zone),
                            address(i));
            Membership m =
                    Membership.start(
                            self, seeds, MembershipSettings.defaults(), this, random.split());
            Node n = new Node(m, zone);
            nodes.add(n);
            byAddress.put(address(i), n);
            schedule(now, () -> tick(n));
        }
    }

    List<Node> nodes() {
        return nodes;
    }

    /** Returns how often a node has declared a running node dead. */
    long falsePositives() {
        return falsePositives;
    }

    void setLoss(double probability) {
        lossProbability = probability;
    }

    @Override
    public Instant instant() {
        return now;
    }

    void run(Duration time) {
        Instant end = now.plus(time);
        for (Event e = events.peek(); e != null && !e.at().isAfter(end); e = events.peek()) {
            events.remove();
            now = e.at();
            e.run().run();
        }
        now = end;
    }

    private void tick(Node n) {
        if (n.up) {
            long start = System.nanoTime();
            perform(n, n.membership.tick());
            n.processingNanos += System.nanoTime() - start;
            schedule(n.membership.nextTick(), () -> tick(n));
        }
    }

    private void perform(Node from, List<MembershipAction> actions) {
        for (MembershipAction a : actions) {
            if (a instanceof MembershipAction.Send(var to, var datagram)) {
                byte[] bytes = ProbeCodec.encode(datagram);
                macSink += mac.doFinal(bytes)[0];
                from.bytesSent += bytes.length + DATAGRAM_OVERHEAD_BYTES;
                from.datagramsSent++;
                Node target = byAddress.get(to);
                if (target != null && random.nextDouble() >= lossProbability) {
                    schedule(now.plusNanos(delayNanos(from, target)), () -> deliver(target, bytes));
                }
            } else if (a instanceof MembershipAction.Changed(var member)
                    && member.status() == MemberStatus.DEAD) {
                Node dead = byAddress.get(member.address());
                falsePositives += dead != null && dead.up ? 1 : 0;
            }
        }
    }

    private void deliver(Node target, byte[] bytes) {
        if (target.up) {
            long start = System.nanoTime();
            macSink += mac.doFinal(bytes)[0];
            target.bytesReceived += bytes.length + DATAGRAM_OVERHEAD_BYTES;
            Datagram d = ProbeCodec.decode(bytes);
            perform(target, target.membership.receive(d));
            target.processingNanos += System.nanoTime() - start;
        }
    }

    private long delayNanos(Node a, Node b) {
        boolean sameRegion = a.zone / ZONES_PER_REGION == b.zone / ZONES_PER_REGION;
        long micros = sameRegion ? SAME_REGION_DELAY_MICROS : CROSS_REGION_DELAY_MICROS;
        return 1000 * (micros + random.nextLong(micros));
    }

    private void schedule(Instant at, Runnable run) {
        Instant later = now.plusNanos(1000);
        events.add(new Event(at.isAfter(later) ? at : later, order++, run));
    }

    private static InetSocketAddress address(int i) {
        try {
            byte[] ip = {10, 0, (byte) (i / 250), (byte) (1 + i % 250)};
            return new InetSocketAddress(InetAddress.getByAddress(ip), 7400);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }
}
