package org.carobdoor.node.gateway.control;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.net.Connector;
import org.carobdoor.platform.HttpCall;
import org.carobdoor.platform.HttpReply;
import org.jspecify.annotations.Nullable;

/**
 * The one HTTP client of the platform's store and cloud API. Never repeats a call; a connection
 * whose reply does not arrive in time is closed. Belongs to the event loop.
 */
final class PlatformClient implements AutoCloseable {
    /** What came of a call. */
    sealed interface Outcome {
        /** The platform replied. */
        record Replied(HttpReply reply) implements Outcome {}

        /** Nothing of the call can have left. */
        record NotSent(String detail) implements Outcome {}

        /** No reply arrived: the call may have been carried out, or may be later. */
        record NoReply(String detail) implements Outcome {}

        /** Returns the status of the reply; 0 if there was none. */
        default int status() {
            return this instanceof Replied(HttpReply reply) ? reply.status() : 0;
        }
    }

    /** Receives the outcome of a call, once. */
    interface Receiver {
        void ended(Outcome outcome);
    }

    private static final int CONNECT_TIMEOUT_MILLIS = 700;
    private static final int MAX_REPLY_BYTES = 8 << 20;

    /** The platform may close idle connections; a call on a closed one would have to fail. */
    private static final long MAX_IDLE_NANOS = 5_000_000_000L;

    private final Deque<Connection> idle = new ArrayDeque<>();
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final DecisionLog log;
    private long calls;

    PlatformClient(EventLoop loop, InetSocketAddress address, DecisionLog log) {
        this.loop = loop;
        this.address = address;
        this.log = log;
    }

    /** Returns the number of calls made. */
    long calls() {
        return calls;
    }

    /** Makes a call that is given up after {@code timeoutMillis}. */
    void call(HttpCall call, long timeoutMillis, Receiver receiver) {
        calls++;
        Connection c = takeIdle();
        if (c != null) {
            c.start(call, timeoutMillis, receiver);
            return;
        }
        Connection fresh = new Connection();
        Connector.connect(
                        loop,
                        address,
                        CONNECT_TIMEOUT_MILLIS,
                        new HttpClientCodec(),
                        new HttpObjectAggregator(MAX_REPLY_BYTES),
                        fresh)
                .addListener(
                        (ChannelFutureListener)
                                f -> {
                                    if (f.isSuccess()) {
                                        fresh.start(call, timeoutMillis, receiver);
                                    } else {
                                        receiver.ended(
                                                new Outcome.NotSent(String.valueOf(f.cause())));
                                    }
                                });
    }

    private @Nullable Connection takeIdle() {
        long now = System.nanoTime();
        Connection c = idle.pollLast();
        while (c != null && (!c.isOpen() || now - c.idleSinceNanos > MAX_IDLE_NANOS)) {
            c.closeChannel();
            c = idle.pollLast();
        }
        return c;
    }

    @Override
    public void close() {
        idle.forEach(Connection::closeChannel);
        idle.clear();
    }

    /** A connection that carries one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private @Nullable Channel channel;
        private @Nullable Receiver receiver;
        private @Nullable ScheduledFuture<?> timer;
        private long idleSinceNanos;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        boolean isOpen() {
            return channel != null && channel.isActive();
        }

        void start(HttpCall call, long timeoutMillis, Receiver to) {
            Channel ch = channel;
            if (ch == null) {
                to.ended(new Outcome.NotSent("not connected"));
                return;
            }
            receiver = to;
            FullHttpRequest r =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.valueOf(call.method()),
                            call.path(),
                            Unpooled.wrappedBuffer(call.body()));
            r.headers()
                    .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort())
                    .set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            if (call.body().length > 0) {
                r.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            }
            for (int i = 0; i + 1 < call.headers().length; i += 2) {
                r.headers().set(call.headers()[i], call.headers()[i + 1]);
            }
            timer =
                    loop.schedule(
                            () -> end(new Outcome.NoReply("no reply in time"), false),
                            timeoutMillis,
                            TimeUnit.MILLISECONDS);
            ch.writeAndFlush(r);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
            byte[] body = ByteBufUtil.getBytes(r.content());
            boolean valid = r.decoderResult().isSuccess();
            boolean keep = valid && HttpUtil.isKeepAlive(r);
            end(
                    valid
                            ? new Outcome.Replied(new HttpReply(r.status().code(), body))
                            : new Outcome.NoReply("malformed reply"),
                    keep);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            end(new Outcome.NoReply("connection closed"), false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end(new Outcome.NoReply(cause.toString()), false);
        }

        private void end(Outcome outcome, boolean keep) {
            if (timer != null) {
                timer.cancel(false);
                timer = null;
            }
            Receiver to = receiver;
            receiver = null;
            if (keep && to != null && isOpen()) {
                idleSinceNanos = System.nanoTime();
                idle.addLast(this);
            } else {
                closeChannel();
            }
            if (to != null) {
                GuardedTask.run("platform reply", () -> to.ended(outcome), log);
            }
        }

        void closeChannel() {
            if (channel != null) {
                channel.close();
            }
        }
    }
}
