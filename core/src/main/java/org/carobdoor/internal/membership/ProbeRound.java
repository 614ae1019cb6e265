package org.carobdoor.internal.membership;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobdoor.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * The probes of one node: whom to probe next in shuffled round-robin order, which probe waits for
 * its acknowledgement, and which probes were made for others.
 */
final class ProbeRound {
    /** A message to send. */
    record Step(MemberRecord to, ProbeBody body) {}

    /** An acknowledgement to pass on. */
    record Relayed(MemberRecord origin, ProbeBody ack) {}

    private record Relay(MemberRecord origin, long sequence, NodeId target, Instant deadline) {}

    private final Deque<MemberRecord> order = new ArrayDeque<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private @Nullable MemberRecord target;
    private long sequence;
    private boolean indirect;
    private Instant ackDeadline;
    private Instant nextProbe;

    ProbeRound(MembershipSettings settings, RandomGenerator random, Instant now) {
        this.settings = settings;
        this.random = random;
        ackDeadline = now;
        nextProbe = now.plusNanos(random.nextLong(settings.probeInterval().toNanos()));
    }

    /** Drops the probe that waits. */
    void restart(Instant now) {
        target = null;
        nextProbe = now;
    }

    /** Returns the node that did not answer the probe whose interval ends now. */
    Optional<NodeId> takeUnanswered(Instant now) {
        MemberRecord t = target;
        if (t == null || now.isBefore(nextProbe)) {
            return Optional.empty();
        }
        target = null;
        return Optional.of(t.id());
    }

    /** Returns the probes that are due. */
    List<Step> next(Instant now, List<MemberRecord> others) {
        relays.values().removeIf(r -> !now.isBefore(r.deadline()));
        List<Step> steps = new ArrayList<>();
        MemberRecord t = target;
        if (!now.isBefore(nextProbe)) {
            nextProbe = now.plus(settings.probeInterval());
            pick(others).ifPresent(r -> steps.add(start(r, now)));
        } else if (t != null && !indirect && !now.isBefore(ackDeadline)) {
            indirect = true;
            List<MemberRecord> helpers = new ArrayList<>(others);
            helpers.removeIf(r -> r.id().equals(t.id()) || r.status() != MemberStatus.ALIVE);
            for (MemberRecord h : choose(helpers, MembershipSettings.INDIRECT_PROBES)) {
                steps.add(new Step(h, new ProbeBody.IndirectProbe(sequence, t.id(), t.address())));
            }
        }
        return steps;
    }

    private Step start(MemberRecord r, Instant now) {
        target = r;
        indirect = false;
        sequence = random.nextLong();
        ackDeadline = now.plus(settings.ackTimeout());
        return new Step(r, new ProbeBody.Probe(sequence, r.id()));
    }

    /** Every node is probed once before any is probed again, which bounds the time to notice. */
    private Optional<MemberRecord> pick(List<MemberRecord> others) {
        if (order.isEmpty()) {
            order.addAll(choose(others, others.size()));
        }
        while (!order.isEmpty()) {
            NodeId id = order.remove().id();
            for (MemberRecord r : others) {
                if (r.id().equals(id)) {
                    return Optional.of(r);
                }
            }
        }
        return Optional.empty();
    }

    Instant nextDeadline() {
        boolean waits = target != null && !indirect && ackDeadline.isBefore(nextProbe);
        return waits ? ackDeadline : nextProbe;
    }

    void acknowledge(long seq, NodeId subject) {
        MemberRecord t = target;
        if (t != null && seq == sequence && subject.equals(t.id())) {
            target = null;
        }
    }

    /** Returns the probe to send for {@code origin}. */
    ProbeBody relay(ProbeBody.IndirectProbe p, MemberRecord origin, Instant now) {
        long seq = random.nextLong();
        relays.put(
                seq,
                new Relay(origin, p.sequence(), p.target(), now.plus(settings.probeInterval())));
        return new ProbeBody.Probe(seq, p.target());
    }

    Optional<Relayed> takeRelay(long seq, NodeId subject) {
        Relay r = relays.get(seq);
        if (r == null || !r.target().equals(subject)) {
            return Optional.empty();
        }
        relays.remove(seq);
        return Optional.of(new Relayed(r.origin(), new ProbeBody.ProbeAck(r.sequence(), subject)));
    }

    /** Returns up to {@code count} of {@code items}, in random order. */
    <T> List<T> choose(List<T> items, int count) {
        List<T> pool = new ArrayList<>(items);
        int n = Math.min(count, pool.size());
        for (int i = 0; i < n; i++) {
            int j = i + random.nextInt(pool.size() - i);
            T swap = pool.get(i);
            pool.set(i, pool.get(j));
            pool.set(j, swap);
        }
        return pool.subList(0, n);
    }
}
