package org.carobdoor.wire;

import io.netty.channel.Channel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
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

/** Runs the handlers of incoming messages, each on a virtual thread, and sends their replies. */
final class Dispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);

    private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new ConcurrentHashMap<>();
    private final Semaphore permits;
    private final TransportSettings settings;

    Dispatcher(TransportSettings settings) {
        this.settings = settings;
        permits = new Semaphore(settings.maxHandlers());
    }

    <M extends PeerMessage> void register(Class<M> type, PeerHandler<M> handler) {
        PeerHandler<PeerMessage> erased = (from, m) -> handler.handle(from, type.cast(m));
        Preconditions.checkArgument(
                handlers.putIfAbsent(type, erased) == null, "two handlers of " + type);
    }

    void dispatch(NodeId from, Envelope envelope, Channel channel) {
        PeerMessage message = MessageCodec.decode(envelope);
        boolean call = envelope.getKind() == Envelope.Kind.CALL;
        long id = envelope.getMessageId();
        PeerHandler<PeerMessage> handler = handlers.get(message.getClass());
        if (message instanceof Ping && call && handler == null) {
            reply(channel, MessageCodec.encode(id, Envelope.Kind.REPLY, new Pong()));
        } else if (handler == null || !permits.tryAcquire()) {
            if (call) {
                reply(channel, status(id, Envelope.Kind.NOT_HANDLED));
            }
        } else {
            Thread.startVirtualThread(() -> run(handler, from, message, call ? id : 0, channel));
        }
    }

    /** An {@code id} of 0 means that no reply is wanted. */
    private void run(
            PeerHandler<PeerMessage> handler,
            NodeId from,
            PeerMessage message,
            long id,
            Channel channel) {
        Envelope answer;
        try {
            answer = toEnvelope(id, handler.handle(from, message));
        } catch (RuntimeException | AssertionError e) {
            LOG.error("Handler of {} from {} failed", message.getClass().getName(), from, e);
            answer = status(id, Envelope.Kind.FAILED);
        } finally {
            permits.release();
        }
        if (id != 0) {
            reply(channel, answer);
        }
    }

    private Envelope toEnvelope(long id, @Nullable PeerMessage reply) {
        if (reply == null) {
            return status(id, Envelope.Kind.NO_REPLY);
        }
        Envelope e = MessageCodec.encode(id, Envelope.Kind.REPLY, reply);
        if (e.getSerializedSize() + ClusterKey.MAC_BYTES > settings.maxFrameBytes()) {
            LOG.error("Reply {} is larger than a frame", reply.getClass().getName());
            return status(id, Envelope.Kind.FAILED);
        }
        return e;
    }

    private static Envelope status(long id, Envelope.Kind kind) {
        return Envelope.newBuilder().setMessageId(id).setKind(kind).build();
    }

    /** A peer that calls but reads no replies is cut off, since its replies would pile up here. */
    private void reply(Channel channel, Envelope envelope) {
        if (channel.bytesBeforeWritable() > settings.maxQueuedBytes()) {
            channel.close();
        } else {
            channel.writeAndFlush(envelope, channel.voidPromise());
        }
    }
}
