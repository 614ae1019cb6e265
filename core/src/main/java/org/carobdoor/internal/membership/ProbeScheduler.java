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
 * Schedules the probes of one node in shuffled round-robin order and tracks the probe that awaits
 * its acknowledgement and the probes made on behalf of other nodes.
 */
final class ProbeScheduler {
    /** A probe or indirect probe to send. */
    record OutgoingProbe(MemberRecord to, ProbeBody body) {}

    /** An acknowledgement to forward to the origin of an indirect probe. */
    record RelayedAck(MemberRecord origin, ProbeBody ack) {}

    private record PendingRelay(
            MemberRecord origin, long sequence, NodeId target, Instant deadline) {}

    private final Deque<MemberRecord> probeOrder = new ArrayDeque<>();
    private final Map<Long, PendingRelay> relays = new HashMap<>();
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private @Nullable MemberRecord target;
    private long sequence;
    private boolean indirect;
    private Instant ackDeadline;
    private Instant nextProbe;

    ProbeScheduler(MembershipSettings settings, RandomGenerator random, Instant now) {
        this.settings = settings;
        this.random = random;
        ackDeadline = now;
        nextProbe = now.plusNanos(random.nextLong(settings.probeInterval().toNanos()));
    }

    /** Drops the pending probe and makes the next one due now. */
    void restart(Instant now) {
        target = null;
        nextProbe = now;
    }

    /** Returns the node that did not answer its probe within the probe interval, once per probe. */
    Optional<NodeId> takeUnanswered(Instant now) {
        MemberRecord t = target;
        if (t == null || now.isBefore(nextProbe)) {
            return Optional.empty();
        }
        target = null;
        return Optional.of(t.id());
    }

    /** Returns the probes that are due, and drops expired relays. */
    List<OutgoingProbe> dueProbes(Instant now, List<MemberRecord> others) {
        relays.values().removeIf(r -> !now.isBefore(r.deadline()));
        List<OutgoingProbe> steps = new ArrayList<>();
        MemberRecord t = target;
        if (!now.isBefore(nextProbe)) {
            nextProbe = now.plus(settings.probeInterval());
            nextTarget(others).ifPresent(r -> steps.add(startProbe(r, now)));
        } else if (t != null && !indirect && !now.isBefore(ackDeadline)) {
            indirect = true;
            List<MemberRecord> helpers = new ArrayList<>(others);
            helpers.removeIf(r -> r.id().equals(t.id()) || r.status() != MemberStatus.ALIVE);
            for (MemberRecord h : randomSample(helpers, MembershipSettings.INDIRECT_PROBES)) {
                steps.add(
                        new OutgoingProbe(
                                h, new ProbeBody.IndirectProbe(sequence, t.id(), t.address())));
            }
        }
        return steps;
    }

    private OutgoingProbe startProbe(MemberRecord r, Instant now) {
        target = r;
        indirect = false;
        sequence = random.nextLong();
        ackDeadline = now.plus(settings.ackTimeout());
        return new OutgoingProbe(r, new ProbeBody.Probe(sequence, r.id()));
    }

    /** Every node is probed once before any is probed again, which bounds the detection time. */
    private Optional<MemberRecord> nextTarget(List<MemberRecord> others) {
        if (probeOrder.isEmpty()) {
            probeOrder.addAll(randomSample(others, others.size()));
        }
        while (!probeOrder.isEmpty()) {
            NodeId id = probeOrder.remove().id();
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

    /** Returns the probe to send on behalf of {@code origin}. */
    ProbeBody startRelay(ProbeBody.IndirectProbe p, MemberRecord origin, Instant now) {
        long seq = random.nextLong();
        relays.put(
                seq,
                new PendingRelay(
                        origin, p.sequence(), p.target(), now.plus(settings.probeInterval())));
        return new ProbeBody.Probe(seq, p.target());
    }

    Optional<RelayedAck> takeRelay(long seq, NodeId subject) {
        PendingRelay r = relays.get(seq);
        if (r == null || !r.target().equals(subject)) {
            return Optional.empty();
        }
        relays.remove(seq);
        return Optional.of(
                new RelayedAck(r.origin(), new ProbeBody.ProbeAck(r.sequence(), subject)));
    }

    /** Returns up to {@code count} of {@code items}, in random order. */
    <T> List<T> randomSample(List<T> items, int count) {
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
