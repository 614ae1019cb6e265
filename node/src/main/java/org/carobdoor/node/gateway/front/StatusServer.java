package org.carobdoor.node.gateway.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** Serves a single small document, the readiness or the metrics, for every request. */
public final class StatusServer implements AutoCloseable {
    private static final int MAX_REQUEST_BYTES = 4096;

    /** A document to serve. */
    public record Document(int status, String contentType, String text) {}

    private final Channel listener;

    private StatusServer(
            EventLoopGroup group, InetSocketAddress bind, Supplier<Document> document) {
        listener =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel ch) {
                                        ch.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                                .addLast(new Responder(document));
                                    }
                                })
                        .bind(bind)
                        .syncUninterruptibly()
                        .channel();
    }

    /**
     * Starts listening.
     *
     * @throws RuntimeException if the address cannot be bound
     */
    public static StatusServer open(
            EventLoopGroup group, InetSocketAddress bind, Supplier<Document> document) {
        return new StatusServer(group, bind, document);
    }

    @Override
    public void close() {
        listener.close();
    }

    private static final class Responder extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Supplier<Document> document;

        Responder(Supplier<Document> document) {
            this.document = document;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            Document d = document.get();
            DefaultFullHttpResponse r =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(d.status()),
                            Unpooled.copiedBuffer(d.text(), StandardCharsets.UTF_8));
            r.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, d.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, r.content().readableBytes());
            boolean keep = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(r, keep);
            ChannelFuture written = ctx.writeAndFlush(r);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The client repeats a check whose connection fails.
            ctx.close();
        }
    }
}
