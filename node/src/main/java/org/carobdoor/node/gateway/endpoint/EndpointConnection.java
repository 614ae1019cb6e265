package org.carobdoor.node.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.carobdoor.internal.request.EndpointAnswer;
import org.carobdoor.platform.EndpointHeaders;
import org.jspecify.annotations.Nullable;

/**
 * A connection to an endpoint, which carries one request at a time.
 *
 * <p>It is used again only after an answer that was framed, complete and to the request that was
 * sent, and only if nothing else has arrived on it. Answers to other requests are dropped. An
 * answer without a length is complete when the endpoint closes the connection, not when it is
 * reset.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private final EndpointConnections pool;
    private final ReceivedBytes received;
    private @Nullable Channel channel;
    private @Nullable AnswerListener listener;
    private @Nullable ChannelFuture written;
    private String requestId = "";
    private boolean headSeen;
    private boolean skipping;
    private boolean reusable = true;
    private boolean broken;
    private long idleSinceNanos;
    private long idleLimitNanos;

    EndpointConnection(EndpointConnections pool, AnswerSpace space, long idleLimitNanos) {
        this.pool = pool;
        this.received = new ReceivedBytes(space, () -> fail("the answer is too long"));
        this.idleLimitNanos = idleLimitNanos;
        this.idleSinceNanos = System.nanoTime();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Returns the handler that counts what arrives, for the pipeline. */
    ReceivedBytes received() {
        return received;
    }

    /** Notes that what has arrived of the answer has been passed on. */
    void passedOn() {
        received.release();
    }

    boolean isOpen() {
        return channel != null && channel.isActive() && !broken;
    }

    long idleNanos(long nowNanos) {
        return nowNanos - idleSinceNanos;
    }

    boolean isIdleTooLong(long nowNanos) {
        return idleNanos(nowNanos) > idleLimitNanos;
    }

    /** Sends a request; {@code to} learns of the answer. */
    void send(FullHttpRequest request, String id, AnswerListener to) {
        requestId = id;
        listener = to;
        headSeen = false;
        skipping = false;
        written = channel().writeAndFlush(request);
    }

    /** Stops or resumes reading, when the caller reads more slowly than the endpoint sends. */
    void setReading(boolean reading) {
        channel().config().setAutoRead(reading);
    }

    /** Closes the connection; the listener hears nothing more. */
    void close() {
        listener = null;
        broken = true;
        received.close();
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        pool.heard();
        if (listener == null) {
            // Bytes that nobody asked for: what follows them cannot be told apart from an answer.
            ReferenceCountUtil.release(msg);
            close();
            return;
        }
        if (msg instanceof HttpObject o && o.decoderResult().isFailure()) {
            ReferenceCountUtil.release(msg);
            fail("malformed answer: " + o.decoderResult().cause());
            return;
        }
        if (msg instanceof HttpResponse head) {
            readHead(head);
        }
        if (msg instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true;
            return;
        }
        EndpointAnswer answer = EndpointHeaders.decode(head);
        if (answer.requestId() != null && !answer.requestId().equals(requestId)) {
            skipping = true;
            reusable = false;
            return;
        }
        if (headSeen) {
            fail("a second answer on the connection");
            return;
        }
        headSeen = true;
        reusable &= !answer.closes();
        answer.keepAliveMillis()
                .ifPresent(ms -> idleLimitNanos = EndpointConnections.usableIdleNanos(ms));
        AnswerListener l = listener;
        if (l != null) {
            l.onHead(head, answer);
        }
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        AnswerListener l = listener;
        if (skipping || l == null || broken) {
            content.release();
            skipping &= !last;
            return;
        }
        ByteBuf data = content.content();
        if (data.isReadable()) {
            l.onContent(data);
        } else {
            content.release();
        }
        // The listener may have closed the connection.
        if (last && listener == l) {
            end(l);
        }
    }

    private void end(AnswerListener l) {
        listener = null;
        boolean bodySent = written != null && written.isSuccess();
        if (reusable && bodySent && isOpen()) {
            received.release();
            idleSinceNanos = System.nanoTime();
            setReading(true);
            pool.release(this);
        } else {
            close();
        }
        l.onEnd();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.closed(this);
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail("connection failed: " + cause);
    }

    private void fail(String detail) {
        AnswerListener l = listener;
        close();
        if (l != null) {
            l.onBroken(detail);
        }
    }

    private Channel channel() {
        if (channel == null) {
            throw new IllegalStateException("the connection is not open");
        }
        return channel;
    }
}
