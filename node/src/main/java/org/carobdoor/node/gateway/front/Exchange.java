package org.carobdoor.node.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.carobdoor.node.gateway.net.MessageFraming;
import org.carobdoor.platform.EndpointHeaders;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller and its response. The response is written once: complete, as an error, or
 * as a stream that ends or is aborted. Confined to the event loop.
 */
public final class Exchange {

    /** Receives the events of the caller's connection while the request runs. */
    public interface Listener {
        /** The caller has closed its connection. */
        void onCallerDisconnected();

        /** The connection accepts more bytes again, or no longer does. */
        void onWritabilityChanged(boolean writable);
    }

    private static final double MILLIS_PER_SECOND = 1e3;

    private final Channel channel;
    private final CallerConnectionHandler handler;
    private final HttpRequest head;
    private final ByteBuf body;
    private final long arrivedNanos;
    private final long maxWaitNanos;
    private @Nullable Listener listener;
    private boolean ended;

    Exchange(
            CallerConnectionHandler handler,
            Channel channel,
            HttpRequest head,
            ByteBuf body,
            long arrivedNanos,
            long maxWaitNanos) {
        this.handler = handler;
        this.channel = channel;
        this.head = head;
        this.body = body;
        this.arrivedNanos = arrivedNanos;
        this.maxWaitNanos = maxWaitNanos;
    }

    /** Returns the head of the request. */
    public HttpRequest head() {
        return head;
    }

    /** Returns the complete body, which is released when the exchange ends. */
    public ByteBuf body() {
        return body;
    }

    /** Returns when the head arrived, in {@link System#nanoTime}. */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Returns the longest time for which the head can have waited to be read, in nanoseconds. */
    public long maxWaitNanos() {
        return maxWaitNanos;
    }

    /** Sets the listener for the events of the caller's connection. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /**
     * Reads from the caller's connection if the event loop is late, and returns whether the caller
     * still waits for the response.
     */
    public boolean confirmCallerWaits() {
        handler.readAhead();
        return !ended && channel.isOpen();
    }

    /** Returns whether the response has ended or the caller has closed its connection. */
    public boolean isEnded() {
        return ended;
    }

    /** Responds with an error of this node. */
    public void sendError(ErrorResponse error) {
        ByteBuf json = Unpooled.copiedBuffer(error.json(), StandardCharsets.UTF_8);
        DefaultFullHttpResponse r =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(error.status()), json);
        r.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        if (error.retryAfterMillis() > 0) {
            r.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, error.retryAfterMillis() / MILLIS_PER_SECOND);
        }
        HttpUtil.setContentLength(r, json.readableBytes());
        writeResponse(r);
    }

    /** Responds with the complete response of an endpoint; releases {@code content}. */
    public void sendResponse(HttpResponse endpointResponse, ByteBuf content) {
        DefaultFullHttpResponse r =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, endpointResponse.status(), content);
        EndpointHeaders.copyResponseHeaders(endpointResponse.headers(), r.headers());
        long length =
                MessageFraming.endsWithHead(head.method(), r.status())
                        ? HttpUtil.getContentLength(endpointResponse, -1L)
                        : content.readableBytes();
        if (length >= 0) {
            HttpUtil.setContentLength(r, length);
        }
        writeResponse(r);
    }

    /** Starts a response of unknown length. */
    public void startStream(HttpResponse endpointResponse) {
        DefaultHttpResponse r =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, endpointResponse.status());
        EndpointHeaders.copyResponseHeaders(endpointResponse.headers(), r.headers());
        HttpUtil.setTransferEncodingChunked(r, true);
        setConnection(r.headers());
        channel.write(r);
    }

    /** Writes and releases a part of a stream. */
    public void writeStream(ByteBuf part) {
        if (ended) {
            part.release();
            return;
        }
        channel.writeAndFlush(new DefaultHttpContent(part));
    }

    /** Returns whether the caller's connection accepts more bytes. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Ends a stream as complete. */
    public void endStream() {
        if (!ended) {
            finish();
            handler.onResponseWritten(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        }
    }

    /** Closes the connection, so that the response does not look complete. */
    public void abort() {
        if (!ended) {
            finish();
            channel.close();
        }
    }

    void onCallerDisconnected() {
        if (!ended) {
            finish();
            if (listener != null) {
                listener.onCallerDisconnected();
            }
        }
    }

    void onWritabilityChanged(boolean writable) {
        if (!ended && listener != null) {
            listener.onWritabilityChanged(writable);
        }
    }

    private void writeResponse(DefaultFullHttpResponse r) {
        if (ended) {
            r.release();
            return;
        }
        setConnection(r.headers());
        finish();
        handler.onResponseWritten(channel.writeAndFlush(r));
    }

    private void setConnection(HttpHeaders headers) {
        if (!handler.isKeepAlive()) {
            headers.set(HttpHeaderNames.CONNECTION, "close");
        }
    }

    private void finish() {
        ended = true;
        body.release();
    }
}
