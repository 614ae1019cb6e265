package org.carobdoor.node.gateway.endpoint;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.LongConsumer;
import org.carobdoor.node.gateway.net.Connector;

/** The connections of this node to one endpoint. Belongs to the event loop. */
final class EndpointConnections implements AutoCloseable {
    /** Receives the outcome of {@link #acquire}. */
    interface Receiver {
        /** A connection is ready; nothing has been sent on it. */
        void connected(EndpointConnection connection);

        /** None could be opened; nothing was sent. */
        void notConnected(String detail);
    }

    /** A connection takes a round trip; one second would be a lost packet that is sent again. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** Without a stated time an endpoint may close an idle connection at any moment. */
    private static final long DEFAULT_IDLE_MILLIS = 2_000;

    /** Share of the stated time after which the endpoint's close may already be on its way. */
    private static final double USABLE_IDLE_SHARE = 0.6;

    private static final long MAX_IDLE_MILLIS = 12_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_HEAD_BYTES = 32 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final Deque<EndpointConnection> idle = new ArrayDeque<>();
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final LongConsumer heardAt;
    private final Runnable opened;
    private final AnswerSpace space;
    private int open;
    private int maxOpen;

    EndpointConnections(
            EventLoop loop,
            InetSocketAddress address,
            int max,
            AnswerSpace space,
            LongConsumer heard,
            Runnable open) {
        this.loop = loop;
        this.address = address;
        this.maxOpen = max;
        this.space = space;
        this.heardAt = heard;
        this.opened = open;
    }

    /** Returns how long a connection may be idle that the endpoint keeps for {@code millis}. */
    static long usableIdleNanos(long millis) {
        return (long) (Math.min(MAX_IDLE_MILLIS, millis * USABLE_IDLE_SHARE) * NANOS_PER_MILLI);
    }

    void setMaxOpen(int max) {
        maxOpen = max;
    }

    /**
     * Takes an idle connection or opens one.
     *
     * @param maxIdleNanos the longest time that the connection may have been idle
     */
    void acquire(long maxIdleNanos, Receiver receiver) {
        long now = System.nanoTime();
        EndpointConnection c = idle.pollLast();
        while (c != null) {
            if (c.isOpen() && !c.isIdleTooLong(now) && c.idleNanos(now) <= maxIdleNanos) {
                receiver.connected(c);
                return;
            }
            c.close();
            c = idle.pollLast();
        }
        if (open >= maxOpen) {
            receiver.notConnected("all " + maxOpen + " connections are in use");
            return;
        }
        connect(receiver);
    }

    private void connect(Receiver receiver) {
        open++;
        opened.run();
        EndpointConnection c =
                new EndpointConnection(this, space, usableIdleNanos(DEFAULT_IDLE_MILLIS));
        ChannelFuture future =
                Connector.connect(
                        loop,
                        address,
                        CONNECT_TIMEOUT_MILLIS,
                        c.received(),
                        new HttpClientCodec(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES),
                        c);
        future.addListener(
                (ChannelFutureListener)
                        f -> {
                            if (f.isSuccess()) {
                                receiver.connected(c);
                            } else {
                                open--;
                                receiver.notConnected("cannot connect: " + f.cause());
                            }
                        });
    }

    void release(EndpointConnection c) {
        idle.addLast(c);
    }

    void heard() {
        heardAt.accept(System.nanoTime());
    }

    void closed(EndpointConnection c) {
        open--;
        idle.remove(c);
    }

    /** Closes the connections that have been idle for too long. */
    void sweep(long nowNanos) {
        Iterator<EndpointConnection> it = idle.iterator();
        while (it.hasNext()) {
            EndpointConnection c = it.next();
            if (c.isIdleTooLong(nowNanos)) {
                it.remove();
                c.close();
            }
        }
    }

    /** Closes the idle connections; those in use close after their answers. */
    @Override
    public void close() {
        for (EndpointConnection c : idle.toArray(EndpointConnection[]::new)) {
            c.close();
        }
        idle.clear();
    }
}
