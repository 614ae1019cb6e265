package org.carobdoor.node.gateway.endpoint;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.carobdoor.internal.request.ConnectionReuse;
import org.carobdoor.internal.request.EndpointAnswer;
import org.carobdoor.node.gateway.net.Connector;
import org.carobdoor.node.gateway.net.ResponseBufferLimit;

/** The connection pool of this node for one endpoint. Confined to the event loop. */
final class EndpointConnectionPool implements AutoCloseable {
    /** Receives the result of {@link #acquire}. */
    interface AcquireListener {
        /** A connection is ready, and no byte of the request has been sent on it. */
        void onAcquired(EndpointConnection connection);

        /** No connection could be opened; nothing was sent. */
        void onFailure(String detail);
    }

    /** The result of a connection attempt that carries no request. */
    enum ProbeResult {
        /** The endpoint accepted the connection. */
        CONNECTED,
        /** No process listens at the address. */
        REFUSED,
        /** The attempt timed out or failed otherwise. */
        UNANSWERED
    }

    /**
     * Connecting takes one round trip. Connecting for one second would mean that a packet was lost
     * and retransmitted.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /**
     * Keep-alive time assumed for an endpoint that states none, and may close an idle connection at
     * any time.
     */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 2_000;

    /**
     * Fraction of the stated keep-alive time after which the endpoint may already be closing the
     * connection.
     */
    private static final double USABLE_KEEP_ALIVE_FRACTION = 0.6;

    private static final long MAX_IDLE_MILLIS = 12_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_HEAD_BYTES = 32 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final Deque<EndpointConnection> idle = new ArrayDeque<>();
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final LongConsumer activityListener;
    private final Consumer<EndpointAnswer> answerListener;
    private final Runnable openListener;
    private final ResponseBufferLimit bufferLimit;
    private final UnexpectedAnswerListener unexpectedAnswers;
    private final ConnectionReuse reuse = ConnectionReuse.create();
    private LongConsumer connectedListener = nanos -> {};
    private int openCount;
    private int maxOpen;
    private boolean closed;

    EndpointConnectionPool(
            EventLoop loop,
            InetSocketAddress address,
            int max,
            ResponseBufferLimit bufferLimit,
            LongConsumer activityListener,
            Consumer<EndpointAnswer> answerListener,
            Runnable openListener,
            UnexpectedAnswerListener unexpectedAnswers) {
        this.loop = loop;
        this.address = address;
        this.maxOpen = max;
        this.bufferLimit = bufferLimit;
        this.activityListener = activityListener;
        this.answerListener = answerListener;
        this.openListener = openListener;
        this.unexpectedAnswers = unexpectedAnswers;
    }

    /**
     * Returns how long a connection may be idle if the endpoint keeps idle ones for {@code millis}.
     */
    static long usableIdleNanos(long millis) {
        return (long)
                (Math.min(MAX_IDLE_MILLIS, millis * USABLE_KEEP_ALIVE_FRACTION) * NANOS_PER_MILLI);
    }

    /** Sets the receiver of the time that opening a connection took, in nanoseconds. */
    void onConnected(LongConsumer listener) {
        connectedListener = listener;
    }

    int openCount() {
        return openCount;
    }

    void setMaxOpen(int max) {
        maxOpen = max;
    }

    /**
     * Takes an idle connection or opens one.
     *
     * @param maxIdleNanos the longest time for which the connection may have been idle
     */
    void acquire(long maxIdleNanos, AcquireListener listener) {
        long now = System.nanoTime();
        boolean reusable = reuse.isAllowed(now);
        EndpointConnection c = idle.pollLast();
        while (c != null) {
            if (reusable
                    && c.isOpen()
                    && !c.isIdleExpired(now)
                    && c.idleNanos(now) <= maxIdleNanos) {
                listener.onAcquired(c);
                return;
            }
            c.close();
            c = idle.pollLast();
        }
        if (openCount >= maxOpen) {
            listener.onFailure("all " + maxOpen + " connections are in use");
            return;
        }
        connect(listener);
    }

    private void connect(AcquireListener listener) {
        openCount++;
        openListener.run();
        long start = System.nanoTime();
        EndpointCodec codec = new EndpointCodec(codecConfig());
        EndpointConnection c =
                new EndpointConnection(
                        this, codec, bufferLimit, usableIdleNanos(DEFAULT_KEEP_ALIVE_MILLIS));
        ChannelFuture future =
                Connector.connect(
                        loop, address, CONNECT_TIMEOUT_MILLIS, c.receivedBytes(), codec, c);
        future.addListener(
                (ChannelFutureListener)
                        f -> {
                            if (f.isSuccess()) {
                                connectedListener.accept(System.nanoTime() - start);
                                listener.onAcquired(c);
                            } else {
                                c.close();
                                listener.onFailure("cannot connect: " + f.cause());
                            }
                        });
    }

    private static HttpDecoderConfig codecConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES);
    }

    /** Attempts to connect, and closes the connection at once. */
    void probe(Consumer<ProbeResult> callback) {
        ChannelFuture future =
                Connector.connect(
                        loop, address, CONNECT_TIMEOUT_MILLIS, new ChannelInboundHandlerAdapter());
        future.addListener(
                (ChannelFutureListener)
                        f -> {
                            f.channel().close();
                            callback.accept(probeResult(f));
                        });
    }

    private static ProbeResult probeResult(ChannelFuture f) {
        if (f.isSuccess()) {
            return ProbeResult.CONNECTED;
        }
        boolean refused =
                f.cause() instanceof ConnectException
                        && !(f.cause() instanceof ConnectTimeoutException);
        return refused ? ProbeResult.REFUSED : ProbeResult.UNANSWERED;
    }

    void release(EndpointConnection c) {
        if (!closed && reuse.isAllowed(System.nanoTime())) {
            idle.addLast(c);
        } else {
            c.close();
        }
    }

    void recordActivity() {
        activityListener.accept(System.nanoTime());
    }

    /** Records the head of an answer of this endpoint, whether or not it is passed on. */
    void recordAnswer(EndpointAnswer head) {
        answerListener.accept(head);
    }

    void onUnexpectedAnswer(UnexpectedAnswer answer) {
        if (answer.ownerUnknown()) {
            reuse.onUnknownAnswer(System.nanoTime());
        }
        unexpectedAnswers.onUnexpectedAnswer(answer);
    }

    void onClosed(EndpointConnection c) {
        openCount--;
        idle.remove(c);
    }

    /** Closes the connections that have been idle for too long. */
    void closeExpired(long nowNanos) {
        Iterator<EndpointConnection> it = idle.iterator();
        while (it.hasNext()) {
            EndpointConnection c = it.next();
            if (c.isIdleExpired(nowNanos)) {
                it.remove();
                c.close();
            }
        }
    }

    /** Closes the idle connections; those in use are closed after their responses. */
    @Override
    public void close() {
        closed = true;
        for (EndpointConnection c : idle.toArray(EndpointConnection[]::new)) {
            c.close();
        }
        idle.clear();
    }
}
