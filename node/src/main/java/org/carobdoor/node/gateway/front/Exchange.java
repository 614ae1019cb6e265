package org.carobdoor.node.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.carobdoor.platform.EndpointHeaders;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller and its answer. The answer is written once: whole, as a refusal, or as a
 * stream that ends or is cut off. Belongs to the event loop.
 */
public final class Exchange {

    /** Is told what the caller's connection does while the request runs. */
    public interface Listener {
        /** The caller has closed its connection. */
        void callerGone();

        /** The connection takes more bytes again, or has stopped to. */
        void writabilityChanged(boolean writable);
    }

    private static final double MILLIS_PER_SECOND = 1e3;

    private final Channel channel;
    private final CallerHandler handler;
    private final HttpRequest head;
    private final ByteBuf body;
    private final long arrivedNanos;
    private @Nullable Listener listener;
    private boolean ended;

    Exchange(CallerHandler handler, Channel channel, HttpRequest head, ByteBuf body, long arrived) {
        this.handler = handler;
        this.channel = channel;
        this.head = head;
        this.body = body;
        this.arrivedNanos = arrived;
    }

    /** Returns the head of the request. */
    public HttpRequest head() {
        return head;
    }

    /** Returns the whole body; it is released when the exchange ends. */
    public ByteBuf body() {
        return body;
    }

    /** Returns when the head had arrived, in {@link System#nanoTime}. */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Sets who is told of the caller's connection. */
    public void setListener(Listener l) {
        listener = l;
    }

    /** Returns whether the answer has ended or the caller has gone. */
    public boolean isEnded() {
        return ended;
    }

    /** Answers with a status of this node's own. */
    public void refuse(Refusal refusal) {
        ByteBuf json = Unpooled.copiedBuffer(refusal.json(), StandardCharsets.UTF_8);
        DefaultFullHttpResponse r =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(refusal.status()), json);
        r.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        if (refusal.retryAfterMillis() > 0) {
            r.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            refusal.retryAfterMillis() / MILLIS_PER_SECOND);
        }
        writeWhole(r);
    }

    /** Answers with an endpoint's whole answer; releases {@code content}. */
    public void answer(HttpResponse from, ByteBuf content) {
        DefaultFullHttpResponse r =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, from.status(), content);
        EndpointHeaders.copyResponseHeaders(from.headers(), r.headers());
        writeWhole(r);
    }

    /** Begins an answer whose length is not known. */
    public void startStream(HttpResponse from) {
        DefaultHttpResponse r = new DefaultHttpResponse(HttpVersion.HTTP_1_1, from.status());
        EndpointHeaders.copyResponseHeaders(from.headers(), r.headers());
        HttpUtil.setTransferEncodingChunked(r, true);
        setConnection(r.headers());
        channel.write(r);
    }

    /** Writes a part of a stream and releases it. */
    public void writeStream(ByteBuf part) {
        if (ended) {
            part.release();
            return;
        }
        channel.writeAndFlush(new DefaultHttpContent(part));
    }

    /** Returns whether the caller's connection takes more bytes. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Ends a stream as complete. */
    public void endStream() {
        if (!ended) {
            finish();
            handler.finished(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        }
    }

    /** Cuts the answer off, so that it does not look complete. */
    public void abort() {
        if (!ended) {
            finish();
            channel.close();
        }
    }

    void callerGone() {
        if (!ended) {
            finish();
            if (listener != null) {
                listener.callerGone();
            }
        }
    }

    void writabilityChanged(boolean writable) {
        if (!ended && listener != null) {
            listener.writabilityChanged(writable);
        }
    }

    private void writeWhole(DefaultFullHttpResponse r) {
        if (ended) {
            r.release();
            return;
        }
        boolean toHead = head.method().equals(HttpMethod.HEAD);
        if (!toHead) {
            r.headers().set(HttpHeaderNames.CONTENT_LENGTH, r.content().readableBytes());
        }
        setConnection(r.headers());
        finish();
        handler.finished(channel.writeAndFlush(r));
    }

    private void setConnection(HttpHeaders headers) {
        if (!handler.keepsConnection()) {
            headers.set(HttpHeaderNames.CONNECTION, "close");
        }
    }

    private void finish() {
        ended = true;
        body.release();
    }
}
