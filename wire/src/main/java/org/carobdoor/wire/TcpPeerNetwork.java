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
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.carobdoor.FailureKind;
import org.carobdoor.NodeId;
import org.carobdoor.PeerHandler;
import org.carobdoor.PeerNetwork;
import org.carobdoor.Result;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;

/**
 * Sends messages between nodes over TCP connections that are authenticated with a cluster key.
 *
 * <p>Each node opens one connection to each peer that it has messages for; replies are sent on the
 * same connection. A connection that receives no data while a call or a ping is pending is closed,
 * its calls fail with {@link FailureKind#UNKNOWN}, and the next message opens a new connection.
 *
 * <pre>{@code
 * try (var network = TcpPeerNetwork.open(self, bind, keys, settings, InstantSource.system())) {
 *     network.setAddressResolver(id -> membership.find(id).map(Member::peerAddress));
 *     network.handle(WorkRead.class, (from, m) -> reply(m));
 *     var reply = network.call(peer, new WorkRead("r-1", 0), deadline);
 * }
 * }</pre>
 *
 * <p>Failures name the step: {@code peer.address}, {@code peer.connect}, {@code peer.handshake},
 * {@code peer.encode}, {@code peer.queue} and {@code peer.send} occur before the first byte is
 * sent, {@code peer.reply} and {@code peer.handle} after it.
 */
public final class TcpPeerNetwork implements PeerNetwork, AutoCloseable {
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int FIRST_MESSAGE_ID = 2;

    private final Map<NodeId, PeerLink> links = new ConcurrentHashMap<>();
    private final AtomicLong nextId = new AtomicLong(FIRST_MESSAGE_ID);
    private final TransportCounters counters = new TransportCounters();
    private final NodeId self;
    private final TransportSettings settings;
    private final InstantSource clock;
    private final EventLoopGroup group;
    private final boolean ownsGroup;
    private final Dispatcher dispatcher;
    private final PeerConnector connector;
    private final Channel server;
    private final Future<?> linkTimeoutTask;
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
        long intervalMillis = settings.readTimeout().toMillis() / 8;
        linkTimeoutTask =
                group.next()
                        .scheduleWithFixedDelay(
                                this::checkLinkTimeouts,
                                intervalMillis,
                                intervalMillis,
                                TimeUnit.MILLISECONDS);
    }

    /**
     * Starts listening on {@code bind} (port 0 selects a free port).
     *
     * @param self the id of this node; peers verify it during the handshake
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

    /**
     * As {@link #open}, but uses the event loops of the caller, who must close them after this
     * network.
     */
    public static TcpPeerNetwork openOn(
            EventLoopGroup group,
            NodeId self,
            InetSocketAddress bind,
            ClusterKeys keys,
            TransportSettings settings,
            InstantSource clock) {
        return new TcpPeerNetwork(self, bind, keys, settings, clock, group, false);
    }

    /** Creates NIO event loops. */
    public static EventLoopGroup newEventLoops() {
        return new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    }

    /** Sets the address resolver; until then calls fail at the step {@code peer.address}. */
    public void setAddressResolver(Function<NodeId, Optional<InetSocketAddress>> addresses) {
        connector.setAddressResolver(addresses);
    }

    /** Returns the address on which this network listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Returns the counters of this network. */
    public TransportCounters counters() {
        return counters;
    }

    /** Returns the bytes of messages that the system has not taken for sending yet. */
    public long queuedBytes() {
        return links.values().stream().mapToLong(PeerLink::queuedBytes).sum();
    }

    @Override
    public Result<PeerMessage> call(NodeId peer, PeerMessage message, Instant deadline) {
        OutgoingMessage call = new OutgoingMessage(peer, encode(Envelope.Kind.CALL, message));
        Duration remaining = Duration.between(clock.instant(), deadline);
        if (!remaining.isPositive()) {
            call.fail("peer.send", "peer.send", "the deadline has passed");
            return call.result().join();
        }
        if (call.size() + ClusterKey.MAC_BYTES > settings.maxFrameBytes()) {
            return Result.err(
                    FailureKind.REJECTED,
                    "peer.encode",
                    "local",
                    "message exceeds the maximum frame size");
        }
        PeerLink link = offer(call);
        try {
            return call.result().get(remaining.toNanos(), TimeUnit.NANOSECONDS);
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
        send(List.of(peer), message);
    }

    /** Sends a message to several peers, for which it is encoded once. */
    public void send(Collection<NodeId> peers, PeerMessage message) {
        Envelope envelope = encode(Envelope.Kind.ONE_WAY, message);
        peers.forEach(p -> send(new OutgoingMessage(p, envelope)));
    }

    private void send(OutgoingMessage o) {
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

    /**
     * Sets the handler of one-way messages of a type, which runs on the event loop of the
     * connection and must not block.
     */
    public <M extends PeerMessage> void handleNonBlocking(
            Class<M> type, BiConsumer<NodeId, M> handler) {
        dispatcher.registerNonBlocking(type, handler);
    }

    private Envelope encode(Envelope.Kind kind, PeerMessage message) {
        return EnvelopeCompression.compress(
                MessageCodec.encode(nextId.getAndIncrement(), kind, message));
    }

    private PeerLink offer(OutgoingMessage message) {
        while (true) {
            PeerLink link =
                    links.computeIfAbsent(
                            message.peer(), p -> new PeerLink(p, settings, counters, connector));
            if (closed) {
                link.close();
                message.fail("peer.send", "peer.send", "transport is closed");
                return link;
            }
            if (link.offer(message)) {
                return link;
            }
            links.remove(message.peer(), link);
        }
    }

    private void checkLinkTimeouts() {
        long now = System.nanoTime();
        links.values().removeIf(link -> link.checkTimeouts(now));
    }

    private Channel listen(InetSocketAddress bind, ClusterKeys keys) {
        int idleSeconds = 2 * (int) settings.idleCloseTimeout().toSeconds();
        ServerBootstrap b =
                new ServerBootstrap().group(group).channel(NioServerSocketChannel.class);
        b.childHandler(
                new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        configureFraming(ch, settings);
                        ch.pipeline()
                                .addLast(new IdleStateHandler(idleSeconds, 0, 0))
                                .addLast(
                                        new ServerHandshakeHandler(
                                                self, keys, dispatcher, counters));
                    }
                });
        return b.bind(bind).syncUninterruptibly().channel();
    }

    static void configureFraming(SocketChannel ch, TransportSettings settings) {
        ch.config().setTcpNoDelay(true);
        ch.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(settings.maxFrameBytes(), 0, 4, 0, 4))
                .addLast(new LengthFieldPrepender(4));
    }

    /** Closes all connections and fails the pending calls. */
    @Override
    public void close() {
        closed = true;
        linkTimeoutTask.cancel(false);
        server.close().syncUninterruptibly();
        links.values().forEach(PeerLink::close);
        if (ownsGroup) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
