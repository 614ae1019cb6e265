package org.carobdoor.internal.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobdoor.NodeId;
import org.carobdoor.internal.Preconditions;

/**
 * Detects which nodes are alive, by the SWIM protocol: probes, indirect probes, suspicion with
 * incarnations, and updates piggybacked on all of these.
 *
 * <p>The caller performs the returned actions in order and calls {@link #tick} at {@link
 * #nextTick}. Not thread-safe.
 *
 * <pre>{@code
 * var membership = Membership.start(self, seeds, MembershipSettings.defaults(), clock, random);
 * membership.tick().forEach(this::perform);
 * membership.receive(datagram).forEach(this::perform);
 * }</pre>
 */
public final class Membership {
    /** Limits the reply to one sync to about 40 KB; the next sync transfers the rest. */
    private static final int MAX_SYNC_DATAGRAMS = 64;

    private final MemberTable table = new MemberTable();
    private final UpdateQueue updates = new UpdateQueue();
    private final MembershipSettings settings;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final ProbeScheduler probes;
    private List<InetSocketAddress> seeds;
    private MemberRecord self;
    private List<MembershipAction> actions = new ArrayList<>();
    private long replicaDigest;
    private boolean stopped;
    private Instant expectedTick;
    private Instant nextDeadProbe;
    private Instant nextSeed;
    private Instant lastSync;
    private Instant lastChange;

    private Membership(
            MemberRecord self,
            List<InetSocketAddress> seeds,
            MembershipSettings settings,
            InstantSource clock,
            RandomGenerator random) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.settings = settings;
        this.clock = clock;
        this.random = random;
        Instant now = clock.instant();
        probes = new ProbeScheduler(settings, random, now);
        expectedTick = now;
        nextDeadProbe = now;
        nextSeed = now;
        lastSync = now.minus(settings.syncInterval());
        lastChange = now;
        table.merge(self, Instant.MAX);
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @param self made by {@link MemberRecord#started} with an id that was never used before
     * @param seeds addresses at which other nodes may be found, possibly its own
     */
    public static Membership start(
            MemberRecord self,
            List<InetSocketAddress> seeds,
            MembershipSettings settings,
            InstantSource clock,
            RandomGenerator random) {
        return new Membership(self, seeds, settings, clock, random);
    }

    /** Returns this node's own record. */
    public MemberRecord self() {
        return self;
    }

    /** Returns the records of all known nodes, this one and dead ones included, ordered by id. */
    public List<MemberRecord> records() {
        return table.records();
    }

    /** Replaces the seeds. */
    public void setSeeds(List<InetSocketAddress> newSeeds) {
        seeds = List.copyOf(newSeeds);
    }

    /** Sets the replica digest to send with the next datagrams. */
    public void setReplicaDigest(long digest) {
        replicaDigest = digest;
    }

    /** Returns when {@link #tick} is to be called next. */
    public Instant nextTick() {
        return expectedTick;
    }

    /** Announces that this node is leaving; it stays a member until {@link #stop}. */
    public List<MembershipAction> leave() {
        if (!self.leaving()) {
            updateSelf(self.incarnation() + 1, true, self.platformReachable());
        }
        return takeActions();
    }

    /** Announces whether this node reaches the key-value service. */
    public List<MembershipAction> setPlatformReachable(boolean reachable) {
        if (self.platformReachable() != reachable) {
            updateSelf(self.incarnation() + 1, self.leaving(), reachable);
        }
        return takeActions();
    }

    /** Notifies some nodes that this one has stopped, so that they need not detect it. */
    public List<MembershipAction> stop() {
        stopped = true;
        List<MemberRecord> gone = List.of(self.withStatus(MemberStatus.DEAD));
        for (MemberRecord r : probes.randomSample(others(), Datagram.MAX_UPDATES)) {
            actions.add(
                    new MembershipAction.Send(
                            r.address(), datagram(gone, new ProbeBody.MemberList())));
        }
        return takeActions();
    }

    /** Performs what is due and returns the resulting actions. */
    public List<MembershipAction> tick() {
        Instant now = clock.instant();
        Duration late = Duration.between(expectedTick, now);
        if (late.compareTo(settings.pauseTolerance()) > 0) {
            // Messages missed during a local pause are no evidence of failed peers.
            table.extendDeadlines(late);
            probes.restart(now);
        }
        probes.takeUnanswered(now).flatMap(table::find).ifPresent(r -> suspect(r, now));
        for (ProbeScheduler.OutgoingProbe s : probes.dueProbes(now, others())) {
            send(s.to(), s.body());
        }
        table.expire(now).forEach(r -> probeOrDeclareDead(r, now));
        contactDeadMembersAndSeeds(now);
        Instant next = probes.nextDeadline();
        Instant end = table.earliestSuspicionDeadline();
        expectedTick = end.isBefore(next) ? end : next;
        return takeActions();
    }

    /** Handles a datagram from another node. */
    public List<MembershipAction> receive(Datagram d) {
        Instant now = clock.instant();
        if (stopped || d.from().id().equals(self.id())) {
            return takeActions();
        }
        merge(d.from(), now);
        d.updates().forEach(r -> merge(r, now));
        Optional<MemberRecord> from = table.find(d.from().id());
        handleBody(d, from.orElse(d.from()), now);
        if (d.memberDigest() == table.digest()) {
            updates.countAsSent(table.liveCount());
        }
        if (from.isPresent() && from.get().status() != MemberStatus.DEAD) {
            compareDigests(d, from.get(), now);
        }
        return takeActions();
    }

    private void handleBody(Datagram d, MemberRecord from, Instant now) {
        switch (d.body()) {
            case ProbeBody.Probe p -> {
                if (p.target().equals(self.id())) {
                    send(d.from(), new ProbeBody.ProbeAck(p.sequence(), self.id()));
                }
            }
            case ProbeBody.ProbeAck p -> {
                probes.acknowledge(p.sequence(), p.subject());
                probes.takeRelay(p.sequence(), p.subject())
                        .ifPresent(r -> send(r.origin(), r.ack()));
            }
            case ProbeBody.IndirectProbe p ->
                    send(
                            table.find(p.target())
                                    .orElse(
                                            MemberRecord.started(
                                                    p.target(), from.zone(), p.address())),
                            probes.startRelay(p, d.from(), now));
            case ProbeBody.MemberSync p -> answerSync(p, from);
            case ProbeBody.MemberList p -> {}
        }
    }

    private void compareDigests(Datagram d, MemberRecord from, Instant now) {
        if (d.replicaDigest() != replicaDigest) {
            actions.add(new MembershipAction.ReplicaDiffers(from.id()));
        }
        boolean quiet =
                !now.isBefore(lastChange.plus(settings.syncQuietPeriod()))
                        && !now.isBefore(lastSync.plus(settings.probeInterval()));
        boolean due = !now.isBefore(lastSync.plus(settings.syncInterval()));
        if (d.memberDigest() != table.digest() && (quiet || due)) {
            lastSync = now;
            send(from, new ProbeBody.MemberSync(table.bucketDigests(), true));
        }
    }

    private void answerSync(ProbeBody.MemberSync p, MemberRecord from) {
        if (p.digests().size() != MemberTable.BUCKETS) {
            return;
        }
        List<MemberRecord> found = table.recordsInDifferingBuckets(p.digests());
        if (p.reply()) {
            send(from, new ProbeBody.MemberSync(table.bucketDigests(), false));
        }
        int step = Datagram.MAX_UPDATES;
        int end = Math.min(found.size(), MAX_SYNC_DATAGRAMS * step);
        for (int i = 0; i < end; i += step) {
            List<MemberRecord> part = found.subList(i, Math.min(i + step, end));
            actions.add(
                    new MembershipAction.Send(
                            from.address(), datagram(part, new ProbeBody.MemberList())));
        }
    }

    /** Contacts nodes that the regular probes leave out: dead members and absent seeds. */
    private void contactDeadMembersAndSeeds(Instant now) {
        if (!now.isBefore(nextDeadProbe)) {
            nextDeadProbe = now.plus(settings.deadProbeInterval());
            for (MemberRecord r : probes.randomSample(table.recordsWhereDead(true), 1)) {
                send(r, new ProbeBody.Probe(random.nextLong(), r.id()));
            }
        }
        boolean alone = table.liveCount() == 1;
        if (!now.isBefore(nextSeed)) {
            nextSeed = now.plus(alone ? settings.probeInterval() : settings.seedInterval());
            List<InetSocketAddress> known =
                    table.recordsWhereDead(false).stream().map(MemberRecord::address).toList();
            List<InetSocketAddress> absent =
                    seeds.stream().filter(s -> !known.contains(s)).toList();
            for (InetSocketAddress s : probes.randomSample(absent, 1)) {
                ProbeBody body = new ProbeBody.MemberSync(table.bucketDigests(), true);
                actions.add(new MembershipAction.Send(s, datagram(List.of(), body)));
            }
        }
    }

    /** Also probes the suspect at once, so that it can refute within a round trip. */
    private void suspect(MemberRecord r, Instant now) {
        if (r.status() == MemberStatus.ALIVE) {
            merge(r.withStatus(MemberStatus.SUSPECT), now);
            table.find(r.id())
                    .ifPresent(s -> send(s, new ProbeBody.Probe(random.nextLong(), s.id())));
        }
    }

    private void probeOrDeclareDead(MemberRecord r, Instant now) {
        if (table.extendSuspicion(r.id(), now.plus(settings.ackTimeout()))) {
            send(r, new ProbeBody.Probe(random.nextLong(), r.id()));
        } else {
            merge(r, now);
        }
    }

    private void merge(MemberRecord r, Instant now) {
        if (r.id().equals(self.id())) {
            boolean refute =
                    r.incarnation() > self.incarnation()
                            || (r.incarnation() == self.incarnation()
                                    && r.status() != MemberStatus.ALIVE);
            if (refute && !stopped) {
                long next = Math.max(r.incarnation(), self.incarnation()) + 1;
                updateSelf(next, self.leaving(), self.platformReachable());
            }
            return;
        }
        Instant deadline =
                switch (r.status()) {
                    case ALIVE -> Instant.MAX;
                    case SUSPECT -> now.plus(settings.suspicionTimeout(table.liveCount()));
                    case DEAD -> now.plus(settings.deadRetention());
                };
        if (table.merge(r, deadline)) {
            lastChange = now;
            updates.add(r);
            actions.add(new MembershipAction.Changed(r));
        }
    }

    private void updateSelf(long incarnation, boolean leaving, boolean reachable) {
        MemberRecord next = self.withIncarnation(incarnation, leaving, reachable);
        Preconditions.checkInvariant(
                next.supersedes(self), "own record does not supersede the previous one");
        Preconditions.checkInvariant(leaving || !self.leaving(), "the leaving flag was reset");
        self = next;
        table.merge(self, Instant.MAX);
        updates.add(self);
    }

    private List<MemberRecord> others() {
        List<MemberRecord> live = table.recordsWhereDead(false);
        live.removeIf(r -> r.id().equals(self.id()));
        return live;
    }

    /**
     * Puts the record of a suspected or dead receiver first, so that the receiver can refute it.
     */
    private void send(MemberRecord to, ProbeBody body) {
        List<MemberRecord> list = new ArrayList<>(Datagram.MAX_UPDATES);
        table.find(to.id()).filter(r -> r.status() != MemberStatus.ALIVE).ifPresent(list::add);
        NodeId told = list.isEmpty() ? self.id() : to.id();
        updates.take(Datagram.MAX_UPDATES - list.size(), table.liveCount()).stream()
                .filter(r -> !r.id().equals(told))
                .forEach(list::add);
        actions.add(new MembershipAction.Send(to.address(), datagram(list, body)));
    }

    private Datagram datagram(List<MemberRecord> list, ProbeBody body) {
        return new Datagram(self, list, table.digest(), replicaDigest, body);
    }

    private List<MembershipAction> takeActions() {
        List<MembershipAction> done = actions;
        actions = new ArrayList<>();
        return done;
    }
}
