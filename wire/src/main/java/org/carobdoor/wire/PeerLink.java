package org.carobdoor.wire;

import io.netty.channel.Channel;
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
 * The messages to one peer and the connection that carries them: a bounded queue, the calls that
 * wait for a reply, and the stored deadlines of silence and idleness (in {@link System#nanoTime}).
 */
final class PeerLink {
    /** Opens a connection; {@link #connected} or {@link #connectFailed} follows. */
    interface Connector {
        void connect(PeerLink link, long notBeforeNanos);
    }

    /** Keeps a refused connection from being retried in a tight loop. */
    private static final long RECONNECT_PAUSE_NANOS = 100_000_000;

    /** Calls of users start above it. */
    private static final long PING_ID = 1;

    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Outgoing> queue = new ArrayDeque<>();
    private final Map<Long, Outgoing> waiting = new HashMap<>();
    private final NodeId peer;
    private final TransportSettings settings;
    private final TransportCounters counters;
    private final Connector connector;
    private @Nullable Channel channel;
    private boolean connecting;
    private boolean closed;
    private long queuedBytes;
    private boolean pingSent;
    private long reconnectAt;
    private long silentAt = Long.MAX_VALUE;
    private long pingAt;
    private long idleAt;

    PeerLink(NodeId peer, TransportSettings settings, TransportCounters c, Connector connector) {
        this.peer = peer;
        this.settings = settings;
        this.counters = c;
        this.connector = connector;
        reconnectAt = System.nanoTime();
        idleAt = reconnectAt + settings.idleCloseTimeout().toNanos();
    }

    NodeId peer() {
        return peer;
    }

    /** Queues a message; returns false if the link was closed and another one is needed. */
    boolean offer(Outgoing message) {
        Channel ready;
        lock.lock();
        try {
            if (closed) {
                return false;
            }
            if (queue.size() >= settings.maxQueuedMessages()
                    || queuedBytes + message.size() > settings.maxQueuedBytes()) {
                counters.droppedSends.add(message.isCall() ? 0 : 1);
                message.fail("peer.queue", "peer.queue", "the queue to the peer is full");
                return true;
            }
            queue.add(message);
            queuedBytes += message.size();
            idleAt = System.nanoTime() + settings.idleCloseTimeout().toNanos();
            ready = channel;
            if (ready == null) {
                startConnect();
            }
        } finally {
            lock.unlock();
        }
        if (ready != null) {
            ready.eventLoop().execute(() -> flush(ready));
        }
        return true;
    }

    private void startConnect() {
        if (!connecting) {
            connecting = true;
            connector.connect(this, reconnectAt);
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
            read();
        } finally {
            lock.unlock();
        }
        flush(c);
    }

    void connectFailed(String step, String detail) {
        List<Outgoing> failed;
        lock.lock();
        try {
            connecting = false;
            reconnectAt = System.nanoTime() + RECONNECT_PAUSE_NANOS;
            failed = takeQueue();
        } finally {
            lock.unlock();
        }
        failed.forEach(o -> o.fail(step, step, detail));
    }

    /** Writes what the socket takes; the rest stays queued and bounded. */
    void flush(Channel c) {
        lock.lock();
        try {
            boolean written = false;
            while (channel == c && c.isWritable() && !queue.isEmpty()) {
                Outgoing o = queue.remove();
                queuedBytes -= o.size();
                if (o.startWrite()) {
                    if (o.isCall()) {
                        waiting.put(o.envelope().getMessageId(), o);
                        expectBytes();
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
        Outgoing call;
        lock.lock();
        try {
            if (channel != c) {
                return;
            }
            boolean ping = reply.getMessageId() == PING_ID;
            call = waiting.remove(reply.getMessageId());
            pingSent &= !ping;
            read();
            if (call == null && !ping) {
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
     * Ends the wait of a call whose deadline has passed. The deadline of silence stays: otherwise
     * calls with short deadlines would hide a silent connection for ever.
     */
    void expire(Outgoing call) {
        lock.lock();
        try {
            if (queue.remove(call)) {
                queuedBytes -= call.size();
            }
            waiting.remove(call.envelope().getMessageId());
        } finally {
            lock.unlock();
        }
        call.fail("peer.send", "peer.reply", "no reply by the deadline");
    }

    void disconnected(Channel c, String detail) {
        List<Outgoing> failed = new ArrayList<>();
        lock.lock();
        try {
            if (channel != c) {
                return;
            }
            channel = null;
            pingSent = false;
            silentAt = Long.MAX_VALUE;
            failed.addAll(waiting.values());
            waiting.clear();
            if (!queue.isEmpty() && !closed) {
                startConnect();
            }
        } finally {
            lock.unlock();
        }
        failed.forEach(o -> o.fail("peer.send", "peer.reply", detail));
    }

    /** Checks the stored deadlines; returns whether the link has been idle and is now closed. */
    boolean sweep(long now) {
        Channel c;
        boolean silent;
        boolean done;
        lock.lock();
        try {
            c = channel;
            silent = silentAt != Long.MAX_VALUE && now - silentAt >= 0;
            boolean idle = now - idleAt >= 0 && waiting.isEmpty() && queue.isEmpty();
            closed |= idle && !connecting;
            done = closed;
            if (c != null && !silent && !closed && !pingSent && now - pingAt >= 0) {
                ping(c);
            }
        } finally {
            lock.unlock();
        }
        if (c != null && silent) {
            counters.silentConnections.increment();
            disconnected(c, "no byte arrived within " + settings.silenceTimeout());
            c.close();
        } else if (c != null && done) {
            c.close();
        }
        return done;
    }

    void close() {
        List<Outgoing> failed;
        Channel c;
        lock.lock();
        try {
            closed = true;
            failed = takeQueue();
            c = channel;
        } finally {
            lock.unlock();
        }
        failed.forEach(o -> o.fail("peer.send", "peer.send", "the transport is closed"));
        if (c != null) {
            disconnected(c, "the transport is closed");
            c.close();
        }
    }

    private List<Outgoing> takeQueue() {
        List<Outgoing> taken = List.copyOf(queue);
        queue.clear();
        queuedBytes = 0;
        return taken;
    }

    private void ping(Channel c) {
        pingSent = true;
        expectBytes();
        c.writeAndFlush(
                MessageCodec.encode(PING_ID, Envelope.Kind.CALL, new Ping()), c.voidPromise());
    }

    /** Starts the wait for bytes if it is not running; a waiting call is pinged half way. */
    private void expectBytes() {
        if (silentAt == Long.MAX_VALUE) {
            restartWait();
        }
    }

    private void restartWait() {
        long now = System.nanoTime();
        silentAt = now + settings.silenceTimeout().toNanos();
        pingAt = now + settings.silenceTimeout().toNanos() / 2;
    }

    private void read() {
        if (waiting.isEmpty() && !pingSent) {
            silentAt = Long.MAX_VALUE;
            pingAt = System.nanoTime() + settings.idlePingInterval().toNanos();
        } else {
            restartWait();
        }
    }
}
