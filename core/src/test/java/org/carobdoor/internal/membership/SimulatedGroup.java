package org.carobdoor.internal.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.NodeId;

/** Nodes on a simulated clock and a network with loss, delay, zone partitions and pauses. */
final class SimulatedGroup implements InstantSource {
    /** The place of one VM; a restart puts a new node with a new id into it. */
    static final class Slot {
        final InetSocketAddress address;
        final String zone;
        Membership node;
        boolean up = true;
        Instant pausedUntil = Instant.MIN;
        int restarts;

        Slot(InetSocketAddress address, String zone, Membership node) {
            this.address = address;
            this.zone = zone;
            this.node = node;
        }
    }

    private record Event(Instant at, long order, Runnable run) {}

    final List<Slot> slots = new ArrayList<>();
    final Set<String> partitionedZones = new HashSet<>();
    final Random random;
    double lossRate;

    /** The share of datagrams to a paused node that its full socket buffer drops. */
    double bufferLossRate = 0.5;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at.equals(b.at)
                                    ? Long.compare(a.order, b.order)
                                    : a.at.compareTo(b.at));
    private Instant now = Instant.EPOCH;
    private long order;

    SimulatedGroup(long seed, int size, int zones) throws Exception {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            InetAddress ip = InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) (i + 1)});
            InetSocketAddress a = new InetSocketAddress(ip, 7400);
            Slot s = new Slot(a, "zone-" + i % zones, newNode(a, "zone-" + i % zones, i + "-0"));
            slots.add(s);
            scheduleTick(s, s.node);
        }
    }

    @Override
    public Instant instant() {
        return now;
    }

    void run(Duration time) {
        Instant end = now.plus(time);
        while (!events.isEmpty() && !events.peek().at.isAfter(end)) {
            Event e = events.remove();
            now = e.at;
            e.run.run();
        }
        now = end;
    }

    /** Advances the clock without running events. */
    void advanceClock(Duration time) {
        now = now.plus(time);
    }

    void restart(Slot s) {
        s.restarts++;
        s.up = true;
        s.pausedUntil = Instant.MIN;
        s.node = newNode(s.address, s.zone, slots.indexOf(s) + "-" + s.restarts);
        scheduleTick(s, s.node);
    }

    List<Slot> up() {
        return slots.stream().filter(s -> s.up).toList();
    }

    void perform(Slot from, List<MembershipAction> actions) {
        for (MembershipAction a : actions) {
            if (a instanceof MembershipAction.Send(var to, var datagram)) {
                deliver(from, to, datagram);
            }
        }
    }

    private Membership newNode(InetSocketAddress a, String zone, String id) {
        MemberRecord self =
                MemberRecord.started(new NodeId("n" + id), new AvailabilityZone(zone), a);
        List<InetSocketAddress> seeds = slots.stream().limit(3).map(s -> s.address).toList();
        return Membership.start(
                self, seeds, MembershipSettings.defaults(), this, new Random(random.nextLong()));
    }

    private void scheduleTick(Slot s, Membership node) {
        Instant at = node.nextTick().isAfter(now) ? node.nextTick() : now.plusMillis(1);
        schedule(s.pausedUntil.isAfter(at) ? s.pausedUntil : at, () -> tick(s, node));
    }

    private void tick(Slot s, Membership node) {
        if (s.node != node || !s.up) {
            return;
        }
        if (!s.pausedUntil.isAfter(now)) {
            perform(s, node.tick());
        }
        scheduleTick(s, node);
    }

    private void deliver(Slot from, InetSocketAddress to, Datagram d) {
        Slot target = slots.stream().filter(s -> s.address.equals(to)).findFirst().orElseThrow();
        boolean partitioned =
                !from.zone.equals(target.zone)
                        && (partitionedZones.contains(from.zone)
                                || partitionedZones.contains(target.zone));
        if (!partitioned && random.nextDouble() >= lossRate) {
            schedule(now.plusMillis(1 + random.nextInt(40)), () -> arrive(target, d));
        }
    }

    private void arrive(Slot target, Datagram d) {
        if (target.pausedUntil.isAfter(now)) {
            if (random.nextDouble() >= bufferLossRate) {
                schedule(target.pausedUntil, () -> arrive(target, d));
            }
        } else if (target.up) {
            perform(target, target.node.receive(d));
        }
    }

    private void schedule(Instant at, Runnable run) {
        events.add(new Event(at, order++, run));
    }
}
