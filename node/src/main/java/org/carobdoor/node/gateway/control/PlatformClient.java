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
import org.carobdoor.node.gateway.net.ReceivedByteCounter;
import org.carobdoor.node.gateway.net.ResponseBufferLimit;
import org.carobdoor.platform.HttpCall;
import org.carobdoor.platform.HttpReply;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client of the platform's store and cloud API. Never retries a call; closes a connection on
 * which a reply does not arrive in time, and all idle ones with it. Must be used on the event loop.
 */
final class PlatformClient implements AutoCloseable {
    /** The outcome of a call. */
    sealed interface Outcome {
        /** A valid reply arrived, whatever its status. */
        record Replied(HttpReply reply) implements Outcome {}

        /** No byte of the call was sent, so it was not carried out. */
        record NotSent(String detail) implements Outcome {}

        /** No valid reply arrived: the call may have been carried out, or may still be. */
        record NoReply(String detail) implements Outcome {}

        /** Returns the HTTP status of the reply; 0 if there was none. */
        default int status() {
            return this instanceof Replied(HttpReply reply) ? reply.status() : 0;
        }
    }

    /** Receives the outcome of a call, exactly once. */
    interface Callback {
        void completed(Outcome outcome);
    }

    private static final int CONNECT_TIMEOUT_MILLIS = 700;
    private static final int MAX_REPLY_BYTES = 8 << 20;

    /** The platform may close idle connections; a call on a closed one would fail. */
    private static final long MAX_IDLE_NANOS = 5_000_000_000L;

    private final Deque<Connection> idleConnections = new ArrayDeque<>();
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final ResponseBufferLimit replyLimit;
    private final DecisionLog log;
    private long callCount;

    /**
     * Creates a client.
     *
     * @param maxReplyBytes the memory for the replies of all calls together; a single one may take
     *     a fifth of it
     */
    PlatformClient(EventLoop loop, InetSocketAddress address, long maxReplyBytes, DecisionLog log) {
        this.loop = loop;
        this.address = address;
        this.replyLimit = ResponseBufferLimit.create(maxReplyBytes);
        this.log = log;
    }

    /** Returns the number of calls since the start. */
    long callCount() {
        return callCount;
    }

    /** Makes a call; without a reply it fails after {@code timeoutMillis}. */
    void call(HttpCall call, long timeoutMillis, Callback callback) {
        callCount++;
        Connection c = pollIdle();
        if (c != null) {
            c.send(call, timeoutMillis, callback);
            return;
        }
        Connection newConnection = new Connection();
        Connector.connect(
                        loop,
                        address,
                        CONNECT_TIMEOUT_MILLIS,
                        newConnection.receivedBytes,
                        new HttpClientCodec(),
                        new HttpObjectAggregator(MAX_REPLY_BYTES),
                        newConnection)
                .addListener(
                        (ChannelFutureListener)
                                f -> {
                                    if (f.isSuccess()) {
                                        newConnection.send(call, timeoutMillis, callback);
                                    } else {
                                        callback.completed(
                                                new Outcome.NotSent(String.valueOf(f.cause())));
                                    }
                                });
    }

    private @Nullable Connection pollIdle() {
        long now = System.nanoTime();
        Connection c = idleConnections.pollLast();
        while (c != null && (!c.isOpen() || now - c.idleSinceNanos > MAX_IDLE_NANOS)) {
            c.closeChannel();
            c = idleConnections.pollLast();
        }
        return c;
    }

    @Override
    public void close() {
        idleConnections.forEach(Connection::closeChannel);
        idleConnections.clear();
    }

    /** A connection that carries one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ReceivedByteCounter receivedBytes =
                new ReceivedByteCounter(
                        replyLimit,
                        () ->
                                complete(
                                        new Outcome.NoReply("reply exceeds the memory for replies"),
                                        false));

        private @Nullable Channel channel;
        private @Nullable Callback pendingCallback;
        private @Nullable ScheduledFuture<?> timer;
        private long idleSinceNanos;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        boolean isOpen() {
            return channel != null && channel.isActive();
        }

        void send(HttpCall call, long timeoutMillis, Callback callback) {
            Channel ch = channel;
            if (ch == null) {
                callback.completed(new Outcome.NotSent("not connected"));
                return;
            }
            pendingCallback = callback;
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
            timer = loop.schedule(this::timedOut, timeoutMillis, TimeUnit.MILLISECONDS);
            ch.writeAndFlush(r);
        }

        private void timedOut() {
            // Idle connections may have gone silent together with this one.
            idleConnections.forEach(Connection::closeChannel);
            idleConnections.clear();
            complete(new Outcome.NoReply("timed out waiting for the reply"), false);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
            byte[] body = ByteBufUtil.getBytes(r.content());
            boolean valid = r.decoderResult().isSuccess();
            boolean keepAlive = valid && HttpUtil.isKeepAlive(r);
            complete(
                    valid
                            ? new Outcome.Replied(new HttpReply(r.status().code(), body))
                            : new Outcome.NoReply("malformed reply"),
                    keepAlive);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.remove(this);
            complete(new Outcome.NoReply("connection closed"), false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            complete(new Outcome.NoReply(cause.toString()), false);
        }

        private void complete(Outcome outcome, boolean keepAlive) {
            if (timer != null) {
                timer.cancel(false);
                timer = null;
            }
            Callback callback = pendingCallback;
            pendingCallback = null;
            receivedBytes.release();
            if (keepAlive && callback != null && isOpen()) {
                idleSinceNanos = System.nanoTime();
                idleConnections.addLast(this);
            } else {
                closeChannel();
            }
            if (callback != null) {
                GuardedTask.run("platform callback", () -> callback.completed(outcome), log);
            }
        }

        void closeChannel() {
            receivedBytes.close();
            if (channel != null) {
                channel.close();
            }
        }
    }
}
