package org.carobdoor.node.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.carobdoor.internal.deployment.CallerLimits;
import org.carobdoor.internal.request.ConnectionArrival;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.node.gateway.net.BodyBuffer;
import org.carobdoor.node.gateway.net.MessageFraming;
import org.jspecify.annotations.Nullable;

/**
 * Handles the connection of a caller: reads one complete request at a time and passes it on as an
 * {@link Exchange}.
 *
 * <p>A request with ambiguous framing is refused and its connection is closed, since the bytes
 * after it cannot be told apart from its body.
 */
final class CallerConnectionHandler extends ChannelInboundHandlerAdapter {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Bytes of pipelined requests after which no more is read until they are answered. */
    private static final int MAX_PIPELINED_BYTES = 64 << 10;

    private final RequestHandler requests;
    private final CallerServer server;
    private final PollClock polls;
    private final ConnectionArrival arrival;
    private final Deque<HttpObject> pipelinedObjects = new ArrayDeque<>();
    private @Nullable Channel channel;
    private @Nullable HttpRequest head;
    private @Nullable BodyBuffer body;
    private @Nullable Exchange exchange;
    private boolean keepAlive = true;
    private boolean inputClosed;
    private boolean readingPipelined;
    private int pipelinedBytes;
    private long arrivedNanos;
    private long maxWaitNanos;
    private long lastReadNanos;
    private long headStartNanos;

    CallerConnectionHandler(CallerServer server, RequestHandler requests, PollClock polls) {
        this.server = server;
        this.requests = requests;
        this.polls = polls;
        arrival = ConnectionArrival.create(polls);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        lastReadNanos = System.nanoTime();
        headStartNanos = lastReadNanos;
        arrival.accepted(lastReadNanos);
        server.addConnection(this);
    }

    /** Records that bytes have arrived, before they are decoded. */
    void onBytesReceived(int bytes) {
        lastReadNanos = System.nanoTime();
        if (exchange != null) {
            pipelinedBytes += bytes;
        }
        if (headStartNanos == 0 && head == null && exchange == null) {
            headStartNanos = lastReadNanos;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (inputClosed || !(msg instanceof HttpObject object)) {
            ReferenceCountUtil.release(msg);
            return;
        }
        if (exchange != null) {
            // A pipelined request waits until the current one is answered. Reading goes on, since
            // nothing else shows that the caller has closed the connection.
            pipelinedObjects.add(object);
            if (pipelinedBytes > MAX_PIPELINED_BYTES) {
                ctx.channel().config().setAutoRead(false);
            }
            return;
        }
        read(ctx.channel(), object);
    }

    private void read(Channel ch, HttpObject object) {
        if (object.decoderResult().isFailure()) {
            ReferenceCountUtil.release(object);
            refuseMalformed(ch, object.decoderResult().cause());
            return;
        }
        if (object instanceof HttpRequest request) {
            readHead(ch, request);
        }
        if (object instanceof HttpContent content && !inputClosed) {
            readContent(ch, content);
        } else if (object instanceof HttpContent content) {
            content.release();
        }
    }

    private void readHead(Channel ch, HttpRequest request) {
        head = request;
        long now = System.nanoTime();
        arrivedNanos = arrival.ofDataReadAt(now);
        maxWaitNanos = now - arrivedNanos;
        keepAlive = HttpUtil.isKeepAlive(request);
        CallerLimits limits = requests.limits();
        long length = HttpUtil.getContentLength(request, 0L);
        body = BodyBuffer.create(ch.alloc(), length);
        if (!MessageFraming.isUnambiguous(request)) {
            refuse(ch, HttpResponseStatus.BAD_REQUEST);
        } else if (length > limits.bodyBytes()) {
            refuse(ch, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            ch.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void readContent(Channel ch, HttpContent content) {
        HttpRequest h = head;
        BodyBuffer b = body;
        if (h == null || b == null) {
            content.release();
            return;
        }
        ByteBuf part = content.content();
        if (b.size() + part.readableBytes() > requests.limits().bodyBytes()) {
            content.release();
            refuse(ch, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        b.add(part);
        if (content instanceof LastHttpContent) {
            head = null;
            body = null;
            headStartNanos = 0;
            Exchange e = new Exchange(this, ch, h, b.take(), arrivedNanos, maxWaitNanos);
            exchange = e;
            server.handle(e);
        }
    }

    private void refuseMalformed(Channel ch, Throwable cause) {
        HttpResponseStatus status =
                switch (cause) {
                    case TooLongHttpHeaderException e ->
                            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
                    case TooLongHttpLineException e -> HttpResponseStatus.REQUEST_URI_TOO_LONG;
                    default -> HttpResponseStatus.BAD_REQUEST;
                };
        refuse(ch, status);
    }

    private void refuse(Channel ch, HttpResponseStatus status) {
        inputClosed = true;
        releaseBody();
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        r.headers().set("Connection", "close").set("Content-Length", 0);
        server.logMalformedRequest(status.code());
        ch.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Reads what the caller has sent and the loop has not read yet, if the loop is late or was when
     * it read the request; only a read shows that the caller has closed the connection.
     */
    void readAhead() {
        Channel ch = channel;
        if (ch != null
                && ch.config().isAutoRead()
                && (maxWaitNanos > 0 || polls.isLate(System.nanoTime()))
                && ch.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    boolean isKeepAlive() {
        return keepAlive && !requests.isStopping();
    }

    /** Returns whether the response being written answers a HEAD request. */
    boolean isAnsweringHead() {
        return exchange != null && exchange.head().method().equals(HttpMethod.HEAD);
    }

    /** Ends the current exchange, whose response has been written. */
    void onResponseWritten(ChannelFuture written) {
        exchange = null;
        lastReadNanos = System.nanoTime();
        if (!isKeepAlive()) {
            inputClosed = true;
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        if (!readingPipelined) {
            readPipelined(written.channel());
        }
    }

    /** Reads what waits, up to a request that is not answered at once. */
    private void readPipelined(Channel ch) {
        readingPipelined = true;
        try {
            while (exchange == null && !pipelinedObjects.isEmpty() && !inputClosed) {
                read(ch, pipelinedObjects.poll());
            }
        } finally {
            readingPipelined = false;
        }
        if (exchange == null) {
            pipelinedBytes = 0;
            ch.config().setAutoRead(true);
        }
    }

    /** Closes the connection if the caller sends a request too slowly or is idle for too long. */
    void checkTimeouts(long nowNanos) {
        Channel ch = channel;
        if (ch == null || exchange != null || inputClosed) {
            return;
        }
        CallerLimits limits = requests.limits();
        boolean slowHead =
                headStartNanos != 0
                        && head == null
                        && millisSince(headStartNanos, nowNanos) > limits.headerTimeoutMillis();
        boolean idle = millisSince(lastReadNanos, nowNanos) > limits.idleTimeoutMillis();
        if (head != null && idle) {
            refuse(ch, HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (slowHead && lastReadNanos != headStartNanos) {
            refuse(ch, HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (idle) {
            ch.close();
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    boolean isBusy() {
        return exchange != null || head != null;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (exchange != null) {
            exchange.onWritabilityChanged(ctx.channel().isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.removeConnection(this);
        releaseBody();
        pipelinedObjects.forEach(ReferenceCountUtil::release);
        pipelinedObjects.clear();
        Exchange e = exchange;
        exchange = null;
        if (e != null) {
            e.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        server.logConnectionError(cause);
        ctx.close();
    }

    private void releaseBody() {
        head = null;
        if (body != null) {
            body.close();
            body = null;
        }
    }

    private static long millisSince(long then, long now) {
        return (now - then) / NANOS_PER_MILLI;
    }
}
