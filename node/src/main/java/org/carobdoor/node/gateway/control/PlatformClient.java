package org.carobdoor.node.gateway.control;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.node.gateway.net.Connector;
import org.carobdoor.node.gateway.net.ReceivedByteCounter;
import org.carobdoor.node.gateway.net.ResponseBufferLimit;
import org.carobdoor.platform.HttpCall;
import org.carobdoor.platform.HttpReply;
import org.carobdoor.platform.StoreEraHeader;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client of the platform's store and cloud API. Never retries a call. Must be used on the
 * event loop.
 *
 * <p>Each call has its own connection, which is closed after its reply: replies do not name their
 * call, so on a shared connection a repeated or late one would be taken for the reply to the next.
 */
final class PlatformClient {
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

    /**
     * Makes a call; without a reply it fails after {@code timeoutMillis}, which include the time to
     * connect.
     */
    void call(HttpCall call, long timeoutMillis, Callback callback) {
        callCount++;
        new Connection(call, callback).open(timeoutMillis);
    }

    /** A connection that carries one call. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ReceivedByteCounter receivedBytes =
                new ReceivedByteCounter(
                        replyLimit,
                        () ->
                                complete(
                                        new Outcome.NoReply(
                                                "reply exceeds the memory for replies")));

        private final HttpCall call;
        private final Callback callback;
        private @Nullable Channel channel;
        private @Nullable ScheduledFuture<?> timer;
        private boolean sent;
        private boolean completed;

        Connection(HttpCall call, Callback callback) {
            this.call = call;
            this.callback = callback;
        }

        void open(long timeoutMillis) {
            timer = loop.schedule(this::timedOut, timeoutMillis, TimeUnit.MILLISECONDS);
            Connector.connect(
                            loop,
                            address,
                            CONNECT_TIMEOUT_MILLIS,
                            receivedBytes,
                            new HttpClientCodec(),
                            new HttpObjectAggregator(MAX_REPLY_BYTES),
                            this)
                    .addListener((ChannelFutureListener) this::connected);
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        private void connected(ChannelFuture f) {
            if (completed) {
                f.channel().close();
            } else if (f.isSuccess()) {
                send(f.channel());
            } else {
                complete(new Outcome.NotSent(String.valueOf(f.cause())));
            }
        }

        private void send(Channel ch) {
            FullHttpRequest r =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.valueOf(call.method()),
                            call.path(),
                            Unpooled.wrappedBuffer(call.body()));
            r.headers()
                    .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                    .set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            if (call.body().length > 0) {
                r.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            }
            for (int i = 0; i + 1 < call.headers().length; i += 2) {
                r.headers().set(call.headers()[i], call.headers()[i + 1]);
            }
            sent = true;
            ch.writeAndFlush(r);
        }

        private void timedOut() {
            complete(
                    sent
                            ? new Outcome.NoReply("timed out waiting for the reply")
                            : new Outcome.NotSent("timed out connecting"));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
            if (!r.decoderResult().isSuccess()) {
                complete(new Outcome.NoReply("malformed reply"));
            } else if (r.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                complete(new Outcome.NoReply("unexpected change of protocol"));
            } else if (r.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                byte[] body = ByteBufUtil.getBytes(r.content());
                OptionalLong era = StoreEraHeader.parse(r.headers().get(StoreEraHeader.NAME));
                complete(new Outcome.Replied(new HttpReply(r.status().code(), body, era)));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            complete(new Outcome.NoReply("connection closed"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            complete(new Outcome.NoReply(cause.toString()));
        }

        private void complete(Outcome outcome) {
            if (completed) {
                return;
            }
            completed = true;
            if (timer != null) {
                timer.cancel(false);
            }
            receivedBytes.close();
            if (channel != null) {
                channel.close();
            }
            GuardedTask.run("platform callback", () -> callback.completed(outcome), log);
        }
    }
}
