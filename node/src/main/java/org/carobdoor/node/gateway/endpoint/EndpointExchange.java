package org.carobdoor.node.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.carobdoor.internal.request.EndpointAnswer;
import org.jspecify.annotations.Nullable;

/**
 * A request to an endpoint and its response, from acquiring a connection to the end of the
 * response.
 */
public final class EndpointExchange implements AutoCloseable {

    /** Receives the result of acquiring a connection. */
    public interface OpenListener {
        /** A connection is ready, and the request may be sent. */
        void onReady();

        /** No connection could be opened; nothing was sent. */
        void onFailure(String detail);
    }

    private final EndpointConnectionPool pool;
    private final long maxIdleNanos;
    private @Nullable EndpointConnection connection;
    private boolean closed;

    EndpointExchange(EndpointConnectionPool pool, long maxIdleNanos) {
        this.pool = pool;
        this.maxIdleNanos = maxIdleNanos;
    }

    /** Acquires a connection. */
    public void open(OpenListener openListener) {
        pool.acquire(
                maxIdleNanos,
                new EndpointConnectionPool.AcquireListener() {
                    @Override
                    public void onAcquired(EndpointConnection c) {
                        if (closed) {
                            pool.release(c);
                            return;
                        }
                        connection = c;
                        openListener.onReady();
                    }

                    @Override
                    public void onFailure(String detail) {
                        if (!closed) {
                            openListener.onFailure(detail);
                        }
                    }
                });
    }

    /** Sends the request on the acquired connection. */
    public void write(FullHttpRequest request, String id, ResponseListener listener) {
        connection().send(request, id, new DetachingListener(listener));
    }

    /** Pauses or resumes reading the response. */
    public void setReadEnabled(boolean reading) {
        if (connection != null && connection.isOpen()) {
            connection.setReadEnabled(reading);
        }
    }

    /** Marks the bytes received so far as forwarded, so that they no longer count as buffered. */
    public void markForwarded() {
        if (connection != null) {
            connection.markForwarded();
        }
    }

    /** Abandons the response and closes its connection, which tells the endpoint. */
    @Override
    public void close() {
        closed = true;
        if (connection != null) {
            connection.close();
        }
    }

    /** Detaches the connection when its response has ended, since it then serves other requests. */
    private final class DetachingListener implements ResponseListener {
        private final ResponseListener listener;

        DetachingListener(ResponseListener listener) {
            this.listener = listener;
        }

        @Override
        public void onHead(HttpResponse head, EndpointAnswer decodedHead) {
            listener.onHead(head, decodedHead);
        }

        @Override
        public void onContent(ByteBuf content) {
            listener.onContent(content);
        }

        @Override
        public void onEnd() {
            connection = null;
            listener.onEnd();
        }

        @Override
        public void onFailure(String detail) {
            connection = null;
            listener.onFailure(detail);
        }

        @Override
        public void onConnectionLost(String detail) {
            connection = null;
            listener.onConnectionLost(detail);
        }
    }

    private EndpointConnection connection() {
        if (connection == null) {
            throw new IllegalStateException("no connection has been acquired");
        }
        return connection;
    }
}
