package org.carobdoor.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.NodeId;
import org.carobdoor.message.Ping;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * Sends messages to one peer over one connection at a time. It holds a bounded queue, the calls
 * that wait for a reply, and the read and idle deadlines (on the {@link System#nanoTime} clock).
 */
final class PeerLink {
    /** Opens a connection and then calls {@link #connected} or {@link #connectFailed}. */
    interface Connector {
        void connect(PeerLink link, long notBeforeNanos);
    }

    /** Prevents a tight retry loop when connections are refused. */
    private static final long RECONNECT_DELAY_NANOS = 100_000_000;

    /** Message ids of {@link TcpPeerNetwork} start above this id. */
    private static final long PING_MESSAGE_ID = 1;

    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<OutgoingMessage> queue = new ArrayDeque<>();
    private final Map<Long, OutgoingMessage> pendingCalls = new HashMap<>();
    private final NodeId peer;
    private final TransportSettings settings;
    private final TransportCounters counters;
    private final Connector connector;
    private @Nullable Channel channel;
    private boolean connecting;
    private boolean closed;
    private long queuedBytes;
    private boolean pingPending;
    private long earliestConnectNanos;
    private long readDeadlineNanos = Long.MAX_VALUE;
    private long nextPingNanos;
    private long idleDeadlineNanos;

    PeerLink(NodeId peer, TransportSettings settings, TransportCounters c, Connector connector) {
        this.peer = peer;
        this.settings = settings;
        this.counters = c;
        this.connector = connector;
        earliestConnectNanos = System.nanoTime();
        idleDeadlineNanos = earliestConnectNanos + settings.idleCloseTimeout().toNanos();
    }

    NodeId peer() {
        return peer;
    }

    /**
     * Queues a message, or fails it if the queue is full. Returns false if the link is closed; the
     * caller must then use a new link.
     */
    boolean offer(OutgoingMessage message) {
        Channel connectedChannel;
        lock.lock();
        try {
            if (closed) {
                return false;
            }
            if (queue.size() >= settings.maxQueuedMessages()
                    || queuedBytes + message.size() > settings.maxQueuedBytes()) {
                counters.droppedSends.add(message.isCall() ? 0 : 1);
                message.fail("peer.queue", "peer.queue", "send queue of the peer is full");
                return true;
            }
            queue.add(message);
            queuedBytes += message.size();
            idleDeadlineNanos = System.nanoTime() + settings.idleCloseTimeout().toNanos();
            connectedChannel = channel;
            if (connectedChannel == null) {
                startConnect();
            }
        } finally {
            lock.unlock();
        }
        if (connectedChannel != null) {
            connectedChannel.eventLoop().execute(() -> flush(connectedChannel));
        }
        return true;
    }

    /** Returns the bytes in the queue and in the buffer of the connection. */
    long queuedBytes() {
        lock.lock();
        try {
            ChannelOutboundBuffer buffer =
                    channel == null ? null : channel.unsafe().outboundBuffer();
            return queuedBytes + (buffer == null ? 0 : buffer.totalPendingWriteBytes());
        } finally {
            lock.unlock();
        }
    }

    private void startConnect() {
        if (!connecting) {
            connecting = true;
            connector.connect(this, earliestConnectNanos);
        }
    }

    void connected(Channel c) {
        lock.lock();
        try {
            connecting = false;
            if (closed) {
                c.close();
                return;
            }
            channel = c;
            onBytesReceived();
        } finally {
            lock.unlock();
        }
        flush(c);
    }

    void connectFailed(String step, String detail) {
        List<OutgoingMessage> failed;
        lock.lock();
        try {
            connecting = false;
            earliestConnectNanos = System.nanoTime() + RECONNECT_DELAY_NANOS;
            failed = drainQueue();
        } finally {
            lock.unlock();
        }
        failed.forEach(o -> o.fail(step, step, detail));
    }

    /** Writes queued messages while the channel is writable; the others stay in the queue. */
    void flush(Channel c) {
        lock.lock();
        try {
            boolean written = false;
            while (channel == c && c.isWritable() && !queue.isEmpty()) {
                OutgoingMessage o = queue.remove();
                queuedBytes -= o.size();
                if (o.markWritten()) {
                    if (o.isCall()) {
                        pendingCalls.put(o.envelope().getMessageId(), o);
                        startReadTimeout();
                    }
                    c.write(o.envelope(), c.voidPromise());
                    written = true;
                }
            }
            if (written) {
                c.flush();
            }
        } finally {
            lock.unlock();
        }
    }

    void received(Channel c, Envelope reply) {
        OutgoingMessage call;
        lock.lock();
        try {
            if (channel != c) {
                return;
            }
            boolean isPing = reply.getMessageId() == PING_MESSAGE_ID;
            call = pendingCalls.remove(reply.getMessageId());
            pingPending &= !isPing;
            onBytesReceived();
            if (call == null && !isPing) {
                counters.lateReplies.increment();
            }
        } finally {
            lock.unlock();
        }
        if (call != null) {
            call.complete(reply);
        }
    }

    /**
     * Fails a call whose deadline has passed. The read deadline is kept; otherwise calls with short
     * deadlines would prevent an unresponsive connection from ever being detected.
     */
    void expire(OutgoingMessage call) {
        lock.lock();
        try {
            if (queue.remove(call)) {
                queuedBytes -= call.size();
            }
            pendingCalls.remove(call.envelope().getMessageId());
        } finally {
            lock.unlock();
        }
        call.fail("peer.send", "peer.reply", "no reply before the deadline");
    }

    void disconnected(Channel c, String detail) {
        List<OutgoingMessage> failed = new ArrayList<>();
        lock.lock();
        try {
            if (channel != c) {
                return;
            }
            channel = null;
            pingPending = false;
            readDeadlineNanos = Long.MAX_VALUE;
            failed.addAll(pendingCalls.values());
            pendingCalls.clear();
            if (!queue.isEmpty() && !closed) {
                startConnect();
            }
        } finally {
            lock.unlock();
        }
        failed.forEach(o -> o.fail("peer.send", "peer.reply", detail));
    }

    /**
     * Closes an unresponsive connection, closes the link if it is idle, and sends a ping if one is
     * due. Returns whether the link is closed.
     */
    boolean checkTimeouts(long now) {
        Channel c;
        boolean timedOut;
        boolean linkClosed;
        lock.lock();
        try {
            c = channel;
            timedOut = readDeadlineNanos != Long.MAX_VALUE && now - readDeadlineNanos >= 0;
            boolean idle =
                    now - idleDeadlineNanos >= 0 && pendingCalls.isEmpty() && queue.isEmpty();
            closed |= idle && !connecting;
            linkClosed = closed;
            if (c != null && !timedOut && !closed && !pingPending && now - nextPingNanos >= 0) {
                sendPing(c);
            }
        } finally {
            lock.unlock();
        }
        if (c != null && timedOut) {
            counters.readTimeouts.increment();
            disconnected(c, "no data received within " + settings.readTimeout());
            c.close();
        } else if (c != null && linkClosed) {
            c.close();
        }
        return linkClosed;
    }

    void close() {
        List<OutgoingMessage> failed;
        Channel c;
        lock.lock();
        try {
            closed = true;
            failed = drainQueue();
            c = channel;
        } finally {
            lock.unlock();
        }
        failed.forEach(o -> o.fail("peer.send", "peer.send", "transport is closed"));
        if (c != null) {
            disconnected(c, "transport is closed");
            c.close();
        }
    }

    private List<OutgoingMessage> drainQueue() {
        List<OutgoingMessage> drained = List.copyOf(queue);
        queue.clear();
        queuedBytes = 0;
        return drained;
    }

    private void sendPing(Channel c) {
        pingPending = true;
        startReadTimeout();
        c.writeAndFlush(
                MessageCodec.encode(PING_MESSAGE_ID, Envelope.Kind.CALL, new Ping()),
                c.voidPromise());
    }

    /**
     * Starts the read timeout unless it is already running. A ping is sent after half of it, so
     * that a slow handler does not cause a timeout.
     */
    private void startReadTimeout() {
        if (readDeadlineNanos == Long.MAX_VALUE) {
            restartReadTimeout();
        }
    }

    private void restartReadTimeout() {
        long now = System.nanoTime();
        readDeadlineNanos = now + settings.readTimeout().toNanos();
        nextPingNanos = now + settings.readTimeout().toNanos() / 2;
    }

    private void onBytesReceived() {
        if (pendingCalls.isEmpty() && !pingPending) {
            readDeadlineNanos = Long.MAX_VALUE;
            nextPingNanos = System.nanoTime() + settings.idlePingInterval().toNanos();
        } else {
            restartReadTimeout();
        }
    }
}
