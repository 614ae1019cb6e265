package org.carobdoor.node.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** Opens TCP connections to the platform and to endpoints. */
public final class Connector {
    private Connector() {}

    /**
     * Opens a connection that is handled by {@code loop}.
     *
     * @param timeoutMillis the timeout of the connection attempt
     * @param handlers the handlers of the pipeline, the codec first; not shared with other
     *     connections
     */
    public static ChannelFuture connect(
            EventLoop loop,
            InetSocketAddress address,
            int timeoutMillis,
            ChannelHandler... handlers) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel ch) {
                                ch.pipeline().addLast(handlers);
                            }
                        })
                .connect(address);
    }
}
