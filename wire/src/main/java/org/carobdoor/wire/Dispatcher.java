package org.carobdoor.wire;

import io.netty.channel.Channel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.function.BiConsumer;
import org.carobdoor.NodeId;
import org.carobdoor.PeerHandler;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.Ping;
import org.carobdoor.message.Pong;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the handler of each incoming message on a virtual thread and sends its reply. Handlers that
 * never block run on the event loop of the connection instead.
 */
final class Dispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);

    private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new ConcurrentHashMap<>();
    private final Map<Class<?>, BiConsumer<NodeId, PeerMessage>> nonBlockingHandlers =
            new ConcurrentHashMap<>();
    private final Semaphore permits;
    private final TransportSettings settings;

    Dispatcher(TransportSettings settings) {
        this.settings = settings;
        permits = new Semaphore(settings.maxConcurrentHandlers());
    }

    <M extends PeerMessage> void register(Class<M> type, PeerHandler<M> handler) {
        PeerHandler<PeerMessage> untyped = (from, m) -> handler.handle(from, type.cast(m));
        Preconditions.checkArgument(
                handlers.putIfAbsent(type, untyped) == null,
                "a handler is already registered for " + type);
    }

    <M extends PeerMessage> void registerNonBlocking(Class<M> type, BiConsumer<NodeId, M> handler) {
        BiConsumer<NodeId, PeerMessage> untyped = (from, m) -> handler.accept(from, type.cast(m));
        Preconditions.checkArgument(
                nonBlockingHandlers.putIfAbsent(type, untyped) == null,
                "a handler is already registered for " + type);
    }

    void dispatch(NodeId from, Envelope envelope, Channel channel) {
        PeerMessage message = MessageCodec.decode(envelope);
        boolean isCall = envelope.getKind() == Envelope.Kind.CALL;
        BiConsumer<NodeId, PeerMessage> nonBlocking = nonBlockingHandlers.get(message.getClass());
        if (nonBlocking != null && !isCall) {
            runNonBlocking(nonBlocking, from, message);
            return;
        }
        long id = envelope.getMessageId();
        PeerHandler<PeerMessage> handler = handlers.get(message.getClass());
        if (message instanceof Ping && isCall && handler == null) {
            reply(channel, MessageCodec.encode(id, Envelope.Kind.REPLY, new Pong()));
        } else if (handler == null || !permits.tryAcquire()) {
            if (isCall) {
                reply(channel, statusEnvelope(id, Envelope.Kind.NOT_HANDLED));
            }
        } else {
            Thread.startVirtualThread(
                    () -> runHandler(handler, from, message, isCall ? id : 0, channel));
        }
    }

    private static void runNonBlocking(
            BiConsumer<NodeId, PeerMessage> handler, NodeId from, PeerMessage message) {
        try {
            handler.accept(from, message);
        } catch (RuntimeException | AssertionError e) {
            LOG.error("Handler for {} from {} failed", message.getClass().getName(), from, e);
        }
    }

    /** Sends no reply if {@code id} is 0. */
    private void runHandler(
            PeerHandler<PeerMessage> handler,
            NodeId from,
            PeerMessage message,
            long id,
            Channel channel) {
        Envelope replyEnvelope;
        try {
            replyEnvelope = toEnvelope(id, handler.handle(from, message));
        } catch (RuntimeException | AssertionError e) {
            LOG.error("Handler for {} from {} failed", message.getClass().getName(), from, e);
            replyEnvelope = statusEnvelope(id, Envelope.Kind.FAILED);
        } finally {
            permits.release();
        }
        if (id != 0) {
            reply(channel, replyEnvelope);
        }
    }

    private Envelope toEnvelope(long id, @Nullable PeerMessage reply) {
        if (reply == null) {
            return statusEnvelope(id, Envelope.Kind.NO_REPLY);
        }
        Envelope e = MessageCodec.encode(id, Envelope.Kind.REPLY, reply);
        if (e.getSerializedSize() + ClusterKey.MAC_BYTES > settings.maxFrameBytes()) {
            LOG.error("Reply {} exceeds the maximum frame size", reply.getClass().getName());
            return statusEnvelope(id, Envelope.Kind.FAILED);
        }
        return e;
    }

    private static Envelope statusEnvelope(long id, Envelope.Kind kind) {
        return Envelope.newBuilder().setMessageId(id).setKind(kind).build();
    }

    /**
     * Sends a reply. Closes the connection of a peer that sends calls but does not read the
     * replies, because they would accumulate in memory.
     */
    private void reply(Channel channel, Envelope envelope) {
        if (channel.bytesBeforeWritable() > settings.maxQueuedBytes()) {
            channel.close();
        } else {
            channel.writeAndFlush(envelope, channel.voidPromise());
        }
    }
}
