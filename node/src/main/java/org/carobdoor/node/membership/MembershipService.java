package org.carobdoor.node.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.carobdoor.Member;
import org.carobdoor.MemberState;
import org.carobdoor.MembershipListener;
import org.carobdoor.MembershipView;
import org.carobdoor.NodeId;
import org.carobdoor.internal.membership.Datagram;
import org.carobdoor.internal.membership.MemberRecord;
import org.carobdoor.internal.membership.Membership;
import org.carobdoor.internal.membership.MembershipAction;
import org.carobdoor.internal.membership.MembershipSettings;
import org.carobdoor.internal.membership.ProbeTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains the membership of this node in the cluster and provides its view of the other members.
 *
 * <pre>{@code
 * var self = MemberRecord.started(id, zone, tcp.address());
 * try (var membership = MembershipService.start(self, seeds, settings, udp, clock, random)) {
 *     membership.onChange(m -> work.memberChanged(m));
 *     tcp.setAddressResolver(id -> membership.find(id).map(Member::peerAddress));
 * }
 * }</pre>
 *
 * <p>{@link #close} notifies some peers that this node has stopped, so that they need not detect it
 * by probing.
 */
public final class MembershipService implements MembershipView, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipService.class);

    /** A snapshot of the members. */
    private record View(Member self, List<Member> live, Map<NodeId, Member> all) {}

    private final ReentrantLock lock = new ReentrantLock();
    private final List<MembershipListener> listeners = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Member> changes = new LinkedBlockingQueue<>();
    private final Membership membership;
    private final ProbeTransport transport;
    private final InstantSource clock;
    private final List<Thread> threads;
    private volatile Consumer<NodeId> replicaDifferenceListener = id -> {};
    private volatile View view;
    private volatile boolean closed;

    private MembershipService(
            Membership membership, ProbeTransport transport, InstantSource clock) {
        this.membership = membership;
        this.transport = transport;
        this.clock = clock;
        view = toView(membership);
        threads =
                List.of(
                        Thread.ofVirtual().name("membership-tick").unstarted(this::tickUntilClosed),
                        Thread.ofVirtual()
                                .name("membership-notify")
                                .unstarted(this::notifyListeners));
    }

    /**
     * Starts probing.
     *
     * @param self the record from {@link MemberRecord#started}, with an id that has never been used
     * @param seeds addresses of other nodes; may include this node's own
     * @param transport listens on the address in {@code self}; the caller closes it afterwards
     */
    public static MembershipService start(
            MemberRecord self,
            List<InetSocketAddress> seeds,
            MembershipSettings settings,
            ProbeTransport transport,
            InstantSource clock,
            RandomGenerator random) {
        Membership m = Membership.start(self, seeds, settings, clock, random);
        MembershipService service = new MembershipService(m, transport, clock);
        transport.listen(service::receive);
        service.threads.forEach(Thread::start);
        return service;
    }

    @Override
    public Member self() {
        return view.self();
    }

    @Override
    public List<Member> live() {
        return view.live();
    }

    @Override
    public Optional<Member> find(NodeId id) {
        return Optional.ofNullable(view.all().get(id));
    }

    /**
     * Returns all known nodes ordered by id, including dead ones that have not been removed yet.
     */
    public List<Member> members() {
        return List.copyOf(view.all().values());
    }

    @Override
    public void onChange(MembershipListener listener) {
        listeners.add(listener);
    }

    /** Sets the listener for peers whose replica digest differs. The listener must not block. */
    public void onReplicaDifference(Consumer<NodeId> listener) {
        replicaDifferenceListener = listener;
    }

    /** Sets the digest of this node's replica, which each probe carries. */
    public void setReplicaDigest(long digest) {
        applyStep(
                () -> {
                    membership.setReplicaDigest(digest);
                    return List.of();
                });
    }

    /** Replaces the seeds, for example by the entry VMs on the platform's list. */
    public void setSeeds(List<InetSocketAddress> seeds) {
        applyStep(
                () -> {
                    membership.setSeeds(seeds);
                    return List.of();
                });
    }

    /** Announces whether this node can reach the key-value service. */
    public void setPlatformReachable(boolean reachable) {
        applyStep(() -> membership.setPlatformReachable(reachable));
    }

    /** Announces that this node is leaving. It participates until it is closed. */
    public void leave() {
        applyStep(membership::leave);
    }

    private void receive(Datagram datagram) {
        if (!closed) {
            applyStep(() -> membership.receive(datagram));
        }
    }

    private void applyStep(Supplier<List<MembershipAction>> step) {
        lock.lock();
        try {
            MemberRecord before = membership.self();
            boolean changed = perform(step.get());
            if (changed || !membership.self().equals(before)) {
                view = toView(membership);
            }
        } finally {
            lock.unlock();
        }
    }

    private boolean perform(List<MembershipAction> actions) {
        boolean changed = false;
        for (MembershipAction a : actions) {
            switch (a) {
                case MembershipAction.Send(var to, var datagram) -> transport.send(to, datagram);
                case MembershipAction.ReplicaDiffers(var peer) ->
                        replicaDifferenceListener.accept(peer);
                case MembershipAction.Changed(var member) -> {
                    changed = true;
                    changes.add(member.toMember());
                }
            }
        }
        return changed;
    }

    private void tickUntilClosed() {
        while (!closed) {
            applyStep(membership::tick);
            Duration left = Duration.between(clock.instant(), membership.nextTick());
            LockSupport.parkNanos(Math.max(1_000_000, left.toNanos()));
        }
    }

    private void notifyListeners() {
        try {
            while (true) {
                Member m = changes.take();
                LOG.info("Node {} in {} is {}", m.id(), m.zone(), m.state());
                for (MembershipListener l : listeners) {
                    notifyListener(l, m);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void notifyListener(MembershipListener listener, Member m) {
        try {
            listener.onChange(m);
        } catch (RuntimeException e) {
            LOG.error("A membership listener failed on {}", m.id(), e);
        }
    }

    private static View toView(Membership membership) {
        Map<NodeId, Member> all = new TreeMap<>();
        List<Member> live = new ArrayList<>();
        Member self = membership.self().toMember();
        for (MemberRecord r : membership.records()) {
            Member m = r.toMember();
            all.put(m.id(), m);
            if (m.state() == MemberState.ALIVE
                    || m.state() == MemberState.SUSPECT
                    || m.id().equals(self.id())) {
                live.add(m);
            }
        }
        return new View(self, List.copyOf(live), all);
    }

    @Override
    public void close() {
        applyStep(membership::stop);
        closed = true;
        threads.forEach(Thread::interrupt);
    }
}
