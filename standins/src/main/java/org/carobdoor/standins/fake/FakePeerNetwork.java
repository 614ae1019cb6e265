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
 * An in-process network between nodes that simulates loss, duplication, delay and partitions.
 *
 * <p>What happens to the n-th message from one node to another depends only on the seed, the two
 * nodes and n. The clock converts a deadline to a timeout, which then elapses in real time.
 *
 * <pre>{@code
 * var network = FakePeerNetwork.create(seed, InstantSource.system());
 * network.node(b).handle(Ping.class, (from, ping) -> new Pong());
 * network.partition(a, b);
 * var reply = network.node(a).call(b, new Ping(), deadline); // fails with UNKNOWN at the deadline
 * }</pre>
 */
public final class FakePeerNetwork {
    private final long seed;
    private final InstantSource clock;
    private final Map<NodeId, NodeNetwork> nodeNetworks = new HashMap<>();
    private final Map<Link, AtomicLong> messageCounts = new ConcurrentHashMap<>();
    private final Set<Link> partitionedLinks = new HashSet<>();
    private final Set<NodeId> stoppedNodes = new HashSet<>();
    private LinkFaults faults = LinkFaults.none();

    private FakePeerNetwork(long seed, InstantSource clock) {
        this.seed = seed;
        this.clock = clock;
    }

    private record Link(NodeId from, NodeId to) {}

    private record Delivery(int copies, Duration delay) {}

    /** Creates a network without nodes and without faults. */
    public static FakePeerNetwork create(long seed, InstantSource clock) {
        return new FakePeerNetwork(seed, clock);
    }

    /** Returns the network interface of a node; the same object for each call. */
    public synchronized PeerNetwork node(NodeId id) {
        return nodeNetworks.computeIfAbsent(id, NodeNetwork::new);
    }

    /** Sets the faults that apply to messages from now on. */
    public synchronized void setFaults(LinkFaults value) {
        faults = value;
    }

    /** Drops all messages between two nodes. */
    public synchronized void partition(NodeId a, NodeId b) {
        partitionOneWay(a, b);
        partitionOneWay(b, a);
    }

    /** Drops all messages from one node to another. */
    public synchronized void partitionOneWay(NodeId from, NodeId to) {
        partitionedLinks.add(new Link(from, to));
    }

    /** Drops all messages between the nodes of one group and those of another. */
    public synchronized void partition(Iterable<NodeId> group, Iterable<NodeId> other) {
        for (NodeId a : group) {
            for (NodeId b : other) {
                partition(a, b);
            }
        }
    }

    /** Removes all partitions. */
    public synchronized void removePartitions() {
        partitionedLinks.clear();
    }

    /** Stops a node, which then refuses connections and neither receives nor sends messages. */
    public synchronized void stop(NodeId id) {
        stoppedNodes.add(id);
    }

    /** Starts a stopped node again. */
    public synchronized void restart(NodeId id) {
        stoppedNodes.remove(id);
    }

    private synchronized @Nullable NodeNetwork runningNode(NodeId id) {
        return stoppedNodes.contains(id) ? null : nodeNetworks.get(id);
    }

    /** Draws the faults of the next message from one node to another. */
    private Delivery nextDelivery(NodeId from, NodeId to) {
        var link = new Link(from, to);
        long number = messageCounts.computeIfAbsent(link, l -> new AtomicLong()).getAndIncrement();
        LinkFaults currentFaults;
        synchronized (this) {
            if (partitionedLinks.contains(link)
                    || stoppedNodes.contains(from)
                    || stoppedNodes.contains(to)) {
                return new Delivery(0, Duration.ZERO);
            }
            currentFaults = faults;
        }
        var random = new SplittableRandom((seed * 31 + link.hashCode()) * 31 + number);
        if (random.nextDouble() < currentFaults.loss()) {
            return new Delivery(0, Duration.ZERO);
        }
        int copies = random.nextDouble() < currentFaults.duplication() ? 2 : 1;
        long delayRangeNanos =
                currentFaults.maxDelay().toNanos() - currentFaults.minDelay().toNanos();
        long extraNanos = delayRangeNanos > 0 ? random.nextLong(delayRangeNanos) : 0;
        return new Delivery(copies, currentFaults.minDelay().plusNanos(extraNanos));
    }

    private final class NodeNetwork implements PeerNetwork {
        private final NodeId self;
        private final Map<Class<?>, PeerHandler<?>> handlers = new ConcurrentHashMap<>();

        NodeNetwork(NodeId self) {
            this.self = self;
        }

        @Override
        public <M extends PeerMessage> void handle(Class<M> type, PeerHandler<M> handler) {
            if (handlers.putIfAbsent(type, handler) != null) {
                throw new IllegalStateException("duplicate handler for " + type.getSimpleName());
            }
        }

        @Override
        public void send(NodeId peer, PeerMessage message) {
            deliver(peer, message, reply -> {});
        }

        @Override
        public Result<PeerMessage> call(NodeId peer, PeerMessage message, Instant deadline) {
            String step = "peer." + message.getClass().getSimpleName();
            long timeoutNanos = Duration.between(clock.instant(), deadline).toNanos();
            if (runningNode(self) == null || runningNode(peer) == null) {
                return Result.err(
                        FailureKind.NOT_DONE, step, peer.value(), "the connection was refused");
            }
            if (timeoutNanos <= 0) {
                return Result.err(
                        FailureKind.NOT_DONE, step, peer.value(), "the deadline has passed");
            }
            var reply = new CompletableFuture<PeerMessage>();
            deliver(peer, message, reply::complete);
            try {
                return Result.ok(reply.get(timeoutNanos, TimeUnit.NANOSECONDS));
            } catch (TimeoutException | ExecutionException e) {
                return Result.err(
                        FailureKind.UNKNOWN, step, peer.value(), "no reply by " + deadline);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return Result.err(FailureKind.UNKNOWN, step, peer.value(), "interrupted");
            }
        }

        private void deliver(NodeId peer, PeerMessage message, ReplySink sink) {
            Delivery delivery = nextDelivery(self, peer);
            for (int i = 0; i < delivery.copies(); i++) {
                var unused =
                        Thread.startVirtualThread(
                                () -> deliverCopy(peer, message, delivery.delay(), sink));
            }
        }

        private void deliverCopy(NodeId peer, PeerMessage message, Duration delay, ReplySink sink) {
            sleep(delay);
            NodeNetwork receiver = runningNode(peer);
            @Nullable PeerMessage reply = receiver == null ? null : receiver.receive(self, message);
            Delivery replyDelivery = nextDelivery(peer, self);
            if (reply != null && replyDelivery.copies() > 0) {
                sleep(replyDelivery.delay());
                sink.accept(reply);
            }
        }

        private @Nullable PeerMessage receive(NodeId from, PeerMessage message) {
            PeerHandler<?> handler = handlers.get(message.getClass());
            return handler == null ? null : invoke(handler, from, message);
        }

        // handle() stores each handler under the class of its messages.
        @SuppressWarnings("unchecked")
        private static <M extends PeerMessage> @Nullable PeerMessage invoke(
                PeerHandler<M> handler, NodeId from, PeerMessage message) {
            return handler.handle(from, (M) message);
        }

        private static void sleep(Duration delay) {
            try {
                Thread.sleep(delay);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Receives the reply to a message. */
    private interface ReplySink {
        void accept(PeerMessage reply);
    }
}
