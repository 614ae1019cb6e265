package org.carobdoor.node.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.carobdoor.internal.request.AnswerCorrelator;
import org.carobdoor.internal.request.AnswerOwner;
import org.carobdoor.internal.request.EndpointAnswer;
import org.carobdoor.node.gateway.endpoint.UnexpectedAnswer.Reaction;
import org.carobdoor.node.gateway.net.MessageFraming;
import org.carobdoor.node.gateway.net.ReceivedByteCounter;
import org.carobdoor.node.gateway.net.ResponseBufferLimit;
import org.carobdoor.platform.EndpointHeaders;
import org.jspecify.annotations.Nullable;

/**
 * A connection to an endpoint, which carries one request at a time.
 *
 * <p>The connection is reused only if the response was framed, complete and for the request that
 * was sent, and if nothing else has arrived. Repeated responses to earlier requests are dropped. A
 * response whose request cannot be told ends the request as failed. A response without a length is
 * complete when the endpoint closes the connection, but not when it resets it or closes it before
 * it has received the whole request.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EndpointConnectionPool pool;
    private final ReceivedByteCounter receivedBytes;
    private final EndpointCodec codec;
    private final AnswerCorrelator correlator = AnswerCorrelator.create();
    private @Nullable Channel channel;
    private @Nullable ResponseListener listener;
    private @Nullable ChannelFuture writeFuture;
    private String requestId = "";
    private long sentNanos;
    private int requestCount;
    private boolean headSeen;
    private boolean endsWithConnection;
    private boolean skippingResponse;
    private boolean reusable = true;
    private boolean broken;

    /** Whether bytes followed the last response, so that the connection closes after this read. */
    private boolean moreReceived;

    private long idleSinceNanos;
    private long maxIdleNanos;

    EndpointConnection(
            EndpointConnectionPool pool,
            EndpointCodec codec,
            ResponseBufferLimit bufferLimit,
            long maxIdleNanos) {
        this.pool = pool;
        this.codec = codec;
        this.receivedBytes =
                new ReceivedByteCounter(
                        bufferLimit, () -> fail("response exceeds its share of the buffer limit"));
        this.maxIdleNanos = maxIdleNanos;
        this.idleSinceNanos = System.nanoTime();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    /** Returns the handler that counts received bytes, for the pipeline. */
    ReceivedByteCounter receivedBytes() {
        return receivedBytes;
    }

    /** Marks the bytes received so far as forwarded, so that they no longer count as buffered. */
    void markForwarded() {
        receivedBytes.release();
    }

    boolean isOpen() {
        return channel != null && channel.isActive() && !broken;
    }

    long idleNanos(long nowNanos) {
        return nowNanos - idleSinceNanos;
    }

    boolean isIdleExpired(long nowNanos) {
        return idleNanos(nowNanos) > maxIdleNanos;
    }

    /** Sends a request and reports its response to {@code responseListener}. */
    void send(FullHttpRequest request, String newRequestId, ResponseListener responseListener) {
        requestId = newRequestId;
        requestCount++;
        correlator.onSent(newRequestId);
        sentNanos = System.nanoTime();
        listener = responseListener;
        headSeen = false;
        skippingResponse = false;
        writeFuture = channel().writeAndFlush(request);
    }

    /** Pauses or resumes reading, for callers that read more slowly than the endpoint sends. */
    void setReadEnabled(boolean reading) {
        channel().config().setAutoRead(reading);
    }

    /** Closes the connection without notifying the listener. */
    void close() {
        listener = null;
        receivedBytes.close();
        markBroken();
        if (channel != null) {
            channel.close();
        }
    }

    private void markBroken() {
        if (!broken) {
            broken = true;
            pool.onClosed(this);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        pool.recordActivity();
        if (listener == null) {
            // Unsolicited bytes: what follows them cannot be told apart from a response.
            if (!broken) {
                recordUnexpected(Reaction.CLOSED, msg);
            }
            ReferenceCountUtil.release(msg);
            close();
            return;
        }
        if (msg instanceof HttpObject o && o.decoderResult().isFailure()) {
            ReferenceCountUtil.release(msg);
            fail("malformed response: " + o.decoderResult().cause());
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
        if (!MessageFraming.isUnambiguous(head)) {
            fail("response with a transfer coding other than \"chunked\"");
            return;
        }
        if (!MessageFraming.isValidStatus(head.status())) {
            fail("response with the invalid status " + head.status().code());
            return;
        }
        if (MessageFraming.containsStatusLine(head)) {
            recordUnexpected(Reaction.FAILED, head);
            fail("head that contains the beginning of another one");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skippingResponse = true;
            return;
        }
        EndpointAnswer decodedHead = EndpointHeaders.decode(head);
        AnswerOwner owner = correlator.ownerOf(decodedHead.requestId());
        if (owner != AnswerOwner.UNKNOWN) {
            pool.recordAnswer(decodedHead);
        }
        switch (owner) {
            case CURRENT -> readOwnHead(head, decodedHead);
            case EARLIER -> {
                recordUnexpected(Reaction.DROPPED, head);
                skippingResponse = true;
                reusable = false;
            }
            case UNKNOWN -> {
                // Waiting on could replace this answer, if it is the request's own, by another.
                recordUnexpected(Reaction.FAILED, head);
                fail("answer that may belong to another request, status " + decodedHead.status());
            }
            default -> throw new AssertionError(owner);
        }
    }

    private void readOwnHead(HttpResponse head, EndpointAnswer decodedHead) {
        // A later response on this connection could not be told from a repetition of this one.
        reusable &= decodedHead.requestId() != null;
        if (headSeen) {
            recordUnexpected(Reaction.FAILED, head);
            fail("second response to the same request");
            return;
        }
        headSeen = true;
        endsWithConnection =
                !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
        reusable &= !decodedHead.closes();
        decodedHead
                .keepAliveMillis()
                .ifPresent(ms -> maxIdleNanos = EndpointConnectionPool.usableIdleNanos(ms));
        ResponseListener l = listener;
        if (l != null) {
            l.onHead(head, decodedHead);
        }
    }

    private void recordUnexpected(Reaction reaction, Object message) {
        int status = 0;
        String seenId = null;
        boolean ownerUnknown = false;
        if (message instanceof HttpResponse head && head.decoderResult().isSuccess()) {
            EndpointAnswer answer = EndpointHeaders.decode(head);
            status = answer.status();
            seenId = answer.requestId();
            ownerUnknown = seenId == null || correlator.ownerOf(seenId) == AnswerOwner.UNKNOWN;
        }
        pool.onUnexpectedAnswer(
                new UnexpectedAnswer(
                        reaction,
                        status,
                        seenId,
                        ownerUnknown,
                        requestId,
                        requestCount,
                        (System.nanoTime() - sentNanos) / NANOS_PER_MILLI));
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        ResponseListener l = listener;
        if (skippingResponse || l == null || broken) {
            content.release();
            skippingResponse &= !last;
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

    private void end(ResponseListener l) {
        boolean bodySent = writeFuture != null && writeFuture.isSuccess();
        if (endsWithConnection && !bodySent && !channel().isActive()) {
            // A reset that a write meets first closes the channel without an exception, so it
            // looks like the end of the response.
            failLost("connection closed while the request was being written");
            return;
        }
        listener = null;
        if (reusable && bodySent && codec.hasBufferedBytes()) {
            moreReceived = true;
        } else if (reusable && bodySent && isOpen()) {
            receivedBytes.release();
            idleSinceNanos = System.nanoTime();
            setReadEnabled(true);
            pool.release(this);
        } else {
            close();
        }
        l.onEnd();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // The start of a head that has arrived on an idle connection would become part of the next.
        boolean unread = moreReceived || receivedBytes.heldBytes() > 0;
        if (listener == null && !broken && unread) {
            recordUnexpected(Reaction.CLOSED, Unpooled.EMPTY_BUFFER);
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        failLost("connection closed before the end of the response");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failLost("connection failed: " + cause);
    }

    private void failLost(String detail) {
        ResponseListener l = listener;
        close();
        if (l != null) {
            l.onConnectionLost(detail);
        }
    }

    private void fail(String detail) {
        ResponseListener l = listener;
        close();
        if (l != null) {
            l.onFailure(detail);
        }
    }

    private Channel channel() {
        if (channel == null) {
            throw new IllegalStateException("connection is not open");
        }
        return channel;
    }
}
