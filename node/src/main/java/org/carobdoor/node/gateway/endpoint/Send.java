package org.carobdoor.node.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.carobdoor.internal.request.EndpointAnswer;
import org.jspecify.annotations.Nullable;

/** One sending of a request to an endpoint, from taking a connection to the end of the answer. */
public final class Send implements AutoCloseable {

    /** Says how the taking of a connection ended. */
    public interface Opened {
        /** A connection is ready: the request may be sent. */
        void ready();

        /** No connection could be opened; nothing was sent. */
        void failed(String detail);
    }

    private final EndpointConnections connections;
    private final long maxIdleNanos;
    private @Nullable EndpointConnection connection;
    private boolean closed;

    Send(EndpointConnections connections, long maxIdleNanos) {
        this.connections = connections;
        this.maxIdleNanos = maxIdleNanos;
    }

    /** Takes a connection. */
    public void open(Opened opened) {
        connections.acquire(
                maxIdleNanos,
                new EndpointConnections.Receiver() {
                    @Override
                    public void connected(EndpointConnection c) {
                        if (closed) {
                            connections.release(c);
                            return;
                        }
                        connection = c;
                        opened.ready();
                    }

                    @Override
                    public void notConnected(String detail) {
                        if (!closed) {
                            opened.failed(detail);
                        }
                    }
                });
    }

    /** Sends the request on the connection that is ready. */
    public void write(FullHttpRequest request, String id, AnswerListener listener) {
        connection().send(request, id, new Releasing(listener));
    }

    /** Stops or resumes reading the answer. */
    public void setReading(boolean reading) {
        if (connection != null && connection.isOpen()) {
            connection.setReading(reading);
        }
    }

    /** Notes that what has arrived of the answer has been passed on. */
    public void passedOn() {
        if (connection != null) {
            connection.passedOn();
        }
    }

    /** Abandons the answer: the endpoint sees its connection close. */
    @Override
    public void close() {
        closed = true;
        if (connection != null) {
            connection.close();
        }
    }

    /** Forgets the connection when its answer has ended, since it then serves other requests. */
    private final class Releasing implements AnswerListener {
        private final AnswerListener listener;

        Releasing(AnswerListener listener) {
            this.listener = listener;
        }

        @Override
        public void onHead(HttpResponse head, EndpointAnswer answer) {
            listener.onHead(head, answer);
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
        public void onBroken(String detail) {
            connection = null;
            listener.onBroken(detail);
        }
    }

    private EndpointConnection connection() {
        if (connection == null) {
            throw new IllegalStateException("no connection has been taken");
        }
        return connection;
    }
}
