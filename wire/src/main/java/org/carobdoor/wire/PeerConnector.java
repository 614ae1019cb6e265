package org.carobdoor.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.carobdoor.NodeId;

/** Opens authenticated connections to peers. */
final class PeerConnector implements PeerLink.Connector {
    private final NodeId self;
    private final ClusterKeys keys;
    private final TransportSettings settings;
    private final TransportCounters counters;
    private final EventLoopGroup group;
    private volatile Function<NodeId, Optional<InetSocketAddress>> addresses =
            id -> Optional.empty();

    PeerConnector(
            NodeId self,
            ClusterKeys keys,
            TransportSettings settings,
            TransportCounters counters,
            EventLoopGroup group) {
        this.self = self;
        this.keys = keys;
        this.settings = settings;
        this.counters = counters;
        this.group = group;
    }

    void setAddressResolver(Function<NodeId, Optional<InetSocketAddress>> lookup) {
        addresses = lookup;
    }

    @Override
    public void connect(PeerLink link, long notBeforeNanos) {
        long delay = Math.max(0, notBeforeNanos - System.nanoTime());
        try {
            group.next().schedule(() -> connectNow(link), delay, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            link.connectFailed("peer.connect", "transport is closed");
        }
    }

    private void connectNow(PeerLink link) {
        Optional<InetSocketAddress> address = addresses.apply(link.peer());
        if (address.isEmpty()) {
            link.connectFailed("peer.address", "address of the peer is unknown");
            return;
        }
        Bootstrap b =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) settings.connectTimeout().toMillis())
                        .handler(new ConnectionInitializer(link));
        ChannelFuture f = b.connect(address.get());
        f.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        link.connectFailed("peer.connect", String.valueOf(done.cause()));
                    }
                });
    }

    /** Sets up the pipeline of a new connection, including the handshake timeout. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        private final PeerLink link;

        ConnectionInitializer(PeerLink link) {
            this.link = link;
        }

        @Override
        protected void initChannel(SocketChannel ch) {
            TcpPeerNetwork.configureFraming(ch, settings);
            LinkHandshakeListener listener = new LinkHandshakeListener(link, ch);
            ch.pipeline()
                    .addLast(
                            "mac",
                            new ClientHandshakeHandler(
                                    self,
                                    link.peer(),
                                    keys,
                                    counters,
                                    settings.connectTimeout(),
                                    listener));
        }
    }

    /** Reports the result of the handshake to the link. */
    private final class LinkHandshakeListener implements ClientHandshakeHandler.HandshakeListener {
        private final PeerLink link;
        private final Channel channel;

        LinkHandshakeListener(PeerLink link, Channel channel) {
            this.link = link;
            this.channel = channel;
        }

        @Override
        public void succeeded() {
            channel.pipeline().addLast(new ClientFrameHandler(link));
            link.connected(channel);
        }

        @Override
        public void failed(String detail) {
            link.connectFailed("peer.handshake", detail);
        }
    }
}
