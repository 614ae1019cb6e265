package org.carobdoor.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.carobdoor.FailureKind;
import org.carobdoor.NodeId;
import org.carobdoor.PeerHandler;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;

/**
 * Carries messages between nodes over TCP, authenticated by a cluster key.
 *
 * <p>Each node opens one connection to each peer that it has messages for; replies come back on the
 * same connection. A connection on which no byte arrives while a call or a ping waits is abandoned,
 * its calls fail with {@link FailureKind#UNKNOWN}, and the next message opens a new one.
 *
 * <pre>{@code
 * try (var network = TcpPeerNetwork.open(self, bind, keys, settings, InstantSource.system())) {
 *     network.resolveWith(id -> membership.find(id).map(Member::peerAddress));
 *     network.handle(WorkRead.class, (from, m) -> answer(m));
 *     var reply = network.call(peer, new WorkRead("r-1", 0), deadline);
 * }
 * }</pre>
 *
 * <p>Failures name the step: {@code peer.address}, {@code peer.connect}, {@code peer.handshake},
 * {@code peer.encode}, {@code peer.queue} and {@code peer.send} come before the first byte left;
 * {@code peer.reply} and {@code peer.handle} after it.
 */
public final class TcpPeerNetwork implements PeerNetwork, AutoCloseable {
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int FIRST_CALL_ID = 2;

    private final Map<NodeId, PeerLink> links = new ConcurrentHashMap<>();
    private final AtomicLong nextId = new AtomicLong(FIRST_CALL_ID);
    private final TransportCounters counters = new TransportCounters();
    private final NodeId self;
    private final TransportSettings settings;
    private final InstantSource clock;
    private final EventLoopGroup group;
    private final boolean ownsGroup;
    private final Dispatcher dispatcher;
    private final PeerConnector connector;
    private final Channel server;
    private final Future<?> sweeps;
    private volatile boolean closed;

    private TcpPeerNetwork(
            NodeId self,
            InetSocketAddress bind,
            ClusterKeys keys,
            TransportSettings settings,
            InstantSource clock,
            EventLoopGroup group,
            boolean ownsGroup) {
        this.self = self;
        this.settings = settings;
        this.clock = clock;
        this.group = group;
        this.ownsGroup = ownsGroup;
        dispatcher = new Dispatcher(settings);
        connector = new PeerConnector(self, keys, settings, counters, group);
        server = listen(bind, keys);
        long sweep = settings.silenceTimeout().toMillis() / 8;
        sweeps =
                group.next()
                        .scheduleWithFixedDelay(this::sweep, sweep, sweep, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts listening on {@code bind} (port 0 picks a free one).
     *
     * @param self the id that peers must expect at this address
     * @param keys the valid cluster keys, which may be replaced later
     * @throws RuntimeException if the address cannot be bound
     */
    public static TcpPeerNetwork open(
            NodeId self,
            InetSocketAddress bind,
            ClusterKeys keys,
            TransportSettings settings,
            InstantSource clock) {
        return new TcpPeerNetwork(self, bind, keys, settings, clock, newEventLoops(), true);
    }

    /** As {@link #open}, on event loops of the caller, which closes them after this network. */
    public static TcpPeerNetwork openOn(
            EventLoopGroup group,
            NodeId self,
            InetSocketAddress bind,
            ClusterKeys keys,
            TransportSettings settings,
            InstantSource clock) {
        return new TcpPeerNetwork(self, bind, keys, settings, clock, group, false);
    }

    /** Returns new event loops on NIO. */
    public static EventLoopGroup newEventLoops() {
        return new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    }

    /** Sets how the address of a peer is found; until then no peer is known. */
    public void resolveWith(Function<NodeId, Optional<InetSocketAddress>> addresses) {
        connector.resolveWith(addresses);
    }

    /** Returns the address on which this network listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Returns the counters since the start. */
    public TransportCounters counters() {
        return counters;
    }

    @Override
    public Result<PeerMessage> call(NodeId peer, PeerMessage message, Instant deadline) {
        Outgoing call = outgoing(peer, Envelope.Kind.CALL, message);
        Duration left = Duration.between(clock.instant(), deadline);
        if (!left.isPositive()) {
            call.fail("peer.send", "peer.send", "the deadline has passed");
            return call.result().join();
        }
        if (call.size() + ClusterKey.MAC_BYTES > settings.maxFrameBytes()) {
            return Result.err(
                    FailureKind.REJECTED, "peer.encode", "local", "larger than a frame may be");
        }
        PeerLink link = offer(call);
        try {
            return call.result().get(left.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException | ExecutionException e) {
            link.expire(call);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            link.expire(call);
        }
        return call.result().join();
    }

    @Override
    public void send(NodeId peer, PeerMessage message) {
        Outgoing o = outgoing(peer, Envelope.Kind.ONE_WAY, message);
        if (o.size() + ClusterKey.MAC_BYTES > settings.maxFrameBytes()) {
            counters.droppedSends.increment();
        } else {
            offer(o);
        }
    }

    @Override
    public <M extends PeerMessage> void handle(Class<M> type, PeerHandler<M> handler) {
        dispatcher.register(type, handler);
    }

    private Outgoing outgoing(NodeId peer, Envelope.Kind kind, PeerMessage message) {
        return new Outgoing(peer, MessageCodec.encode(nextId.getAndIncrement(), kind, message));
    }

    private PeerLink offer(Outgoing message) {
        while (true) {
            PeerLink link =
                    links.computeIfAbsent(
                            message.peer(), p -> new PeerLink(p, settings, counters, connector));
            if (closed) {
                link.close();
                message.fail("peer.send", "peer.send", "the transport is closed");
                return link;
            }
            if (link.offer(message)) {
                return link;
            }
            links.remove(message.peer(), link);
        }
    }

    private void sweep() {
        long now = System.nanoTime();
        links.values().removeIf(link -> link.sweep(now));
    }

    private Channel listen(InetSocketAddress bind, ClusterKeys keys) {
        int idle = 2 * (int) settings.idleCloseTimeout().toSeconds();
        ServerBootstrap b =
                new ServerBootstrap().group(group).channel(NioServerSocketChannel.class);
        b.childHandler(
                new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        frames(ch, settings);
                        ch.pipeline()
                                .addLast(new IdleStateHandler(idle, 0, 0))
                                .addLast(
                                        new ServerHandshakeHandler(
                                                self, keys, dispatcher, counters));
                    }
                });
        return b.bind(bind).syncUninterruptibly().channel();
    }

    static void frames(SocketChannel ch, TransportSettings settings) {
        ch.config().setTcpNoDelay(true);
        ch.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(settings.maxFrameBytes(), 0, 4, 0, 4))
                .addLast(new LengthFieldPrepender(4));
    }

    /** Closes all connections; waiting calls fail. */
    @Override
    public void close() {
        closed = true;
        sweeps.cancel(false);
        server.close().syncUninterruptibly();
        links.values().forEach(PeerLink::close);
        if (ownsGroup) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
