package org.carobdoor.standins.fake;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.carobdoor.FailureKind;
import org.carobdoor.NodeId;
import org.carobdoor.PeerHandler;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.message.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * A network between nodes in one process, with loss, repetition, delay and cuts.
 *
 * <p>The fate of the n-th message from one node to another is a function of the seed, the two nodes
 * and n. Deadlines are turned into waiting times by the clock and then pass in real time.
 *
 * <pre>{@code
 * var network = FakePeerNetwork.create(seed, InstantSource.system());
 * network.node(b).handle(Ping.class, (from, ping) -> new Pong());
 * network.cut(a, b);
 * var reply = network.node(a).call(b, new Ping(), deadline); // UNKNOWN at the deadline
 * }</pre>
 */
public final class FakePeerNetwork {
    private final long seed;
    private final InstantSource clock;
    private final Map<NodeId, Port> ports = new HashMap<>();
    private final Map<Link, AtomicLong> sent = new ConcurrentHashMap<>();
    private final Set<Link> cuts = new HashSet<>();
    private final Set<NodeId> stopped = new HashSet<>();
    private LinkFaults faults = LinkFaults.none();

    private FakePeerNetwork(long seed, InstantSource clock) {
        this.seed = seed;
        this.clock = clock;
    }

    private record Link(NodeId from, NodeId to) {}

    private record Delivery(int copies, Duration delay) {}

    /** Makes a network without nodes and without faults. */
    public static FakePeerNetwork create(long seed, InstantSource clock) {
        return new FakePeerNetwork(seed, clock);
    }

    /** Returns the network as {@code id} sees it; the same one for each call. */
    public synchronized PeerNetwork node(NodeId id) {
        return ports.computeIfAbsent(id, Port::new);
    }

    /** Sets what happens to messages from now on. */
    public synchronized void setFaults(LinkFaults value) {
        faults = value;
    }

    /** Drops all messages between two nodes. */
    public synchronized void cut(NodeId a, NodeId b) {
        cutOneWay(a, b);
        cutOneWay(b, a);
    }

    /** Drops all messages from one node to another. */
    public synchronized void cutOneWay(NodeId from, NodeId to) {
        cuts.add(new Link(from, to));
    }

    /** Drops all messages between the nodes of two groups. */
    public synchronized void cut(Iterable<NodeId> group, Iterable<NodeId> other) {
        for (NodeId a : group) {
            for (NodeId b : other) {
                cut(a, b);
            }
        }
    }

    /** Ends all cuts. */
    public synchronized void heal() {
        cuts.clear();
    }

    /** Stops a node: connections to it are refused, and it receives and sends nothing. */
    public synchronized void stop(NodeId id) {
        stopped.add(id);
    }

    /** Starts a stopped node again. */
    public synchronized void restart(NodeId id) {
        stopped.remove(id);
    }

    private synchronized @Nullable Port reachable(NodeId id) {
        return stopped.contains(id) ? null : ports.get(id);
    }

    /** Decides what happens to the next message of a link. */
    private Delivery next(NodeId from, NodeId to) {
        var link = new Link(from, to);
        long number = sent.computeIfAbsent(link, l -> new AtomicLong()).getAndIncrement();
        LinkFaults now;
        synchronized (this) {
            if (cuts.contains(link) || stopped.contains(from) || stopped.contains(to)) {
                return new Delivery(0, Duration.ZERO);
            }
            now = faults;
        }
        var random = new SplittableRandom((seed * 31 + link.hashCode()) * 31 + number);
        if (random.nextDouble() < now.loss()) {
            return new Delivery(0, Duration.ZERO);
        }
        int copies = random.nextDouble() < now.repetition() ? 2 : 1;
        long spread = now.maxDelay().toNanos() - now.minDelay().toNanos();
        long extra = spread > 0 ? random.nextLong(spread) : 0;
        return new Delivery(copies, now.minDelay().plusNanos(extra));
    }

    private final class Port implements PeerNetwork {
        private final NodeId self;
        private final Map<Class<?>, PeerHandler<?>> handlers = new ConcurrentHashMap<>();

        Port(NodeId self) {
            this.self = self;
        }

        @Override
        public <M extends PeerMessage> void handle(Class<M> type, PeerHandler<M> handler) {
            if (handlers.putIfAbsent(type, handler) != null) {
                throw new IllegalStateException("second handler for " + type.getSimpleName());
            }
        }

        @Override
        public void send(NodeId peer, PeerMessage message) {
            deliver(peer, message, reply -> {});
        }

        @Override
        public Result<PeerMessage> call(NodeId peer, PeerMessage message, Instant deadline) {
            String step = "peer." + message.getClass().getSimpleName();
            long nanos = Duration.between(clock.instant(), deadline).toNanos();
            if (reachable(self) == null || reachable(peer) == null) {
                return Result.err(
                        FailureKind.NOT_DONE, step, peer.value(), "the connection was refused");
            }
            if (nanos <= 0) {
                return Result.err(
                        FailureKind.NOT_DONE, step, peer.value(), "the deadline has passed");
            }
            var reply = new CompletableFuture<PeerMessage>();
            deliver(peer, message, reply::complete);
            try {
                return Result.ok(reply.get(nanos, TimeUnit.NANOSECONDS));
            } catch (TimeoutException | ExecutionException e) {
                return Result.err(
                        FailureKind.UNKNOWN, step, peer.value(), "no reply by " + deadline);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return Result.err(FailureKind.UNKNOWN, step, peer.value(), "interrupted");
            }
        }

        private void deliver(NodeId peer, PeerMessage message, ReplySink sink) {
            Delivery delivery = next(self, peer);
            for (int i = 0; i < delivery.copies(); i++) {
                var unused =
                        Thread.startVirtualThread(
                                () -> arrive(peer, message, delivery.delay(), sink));
            }
        }

        private void arrive(NodeId peer, PeerMessage message, Duration delay, ReplySink sink) {
            pause(delay);
            Port receiver = reachable(peer);
            @Nullable PeerMessage reply = receiver == null ? null : receiver.receive(self, message);
            Delivery back = next(peer, self);
            if (reply != null && back.copies() > 0) {
                pause(back.delay());
                sink.accept(reply);
            }
        }

        private @Nullable PeerMessage receive(NodeId from, PeerMessage message) {
            PeerHandler<?> handler = handlers.get(message.getClass());
            return handler == null ? null : invoke(handler, from, message);
        }

        // Handlers are stored under the class of their messages.
        @SuppressWarnings("unchecked")
        private static <M extends PeerMessage> @Nullable PeerMessage invoke(
                PeerHandler<M> handler, NodeId from, PeerMessage message) {
            return handler.handle(from, (M) message);
        }

        private static void pause(Duration delay) {
            try {
                Thread.sleep(delay);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Takes the reply of a call. */
    private interface ReplySink {
        void accept(PeerMessage reply);
    }
}
