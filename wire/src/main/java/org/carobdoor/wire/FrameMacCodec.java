package org.carobdoor.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.nio.ByteBuffer;
import java.util.Arrays;
import javax.crypto.Mac;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;

/**
 * Prepends a MAC to each outgoing envelope and verifies that of each incoming one. The MAC also
 * covers the sequence number of the frame on this connection, which is not sent, so dropped,
 * replayed and reordered frames are detected.
 */
final class FrameMacCodec extends ChannelDuplexHandler {
    private final Mac outMac;
    private final Mac inMac;
    private final TransportCounters counters;
    private long outSequence;
    private long inSequence;

    FrameMacCodec(ClusterKey outKey, ClusterKey inKey, TransportCounters counters) {
        outMac = outKey.newMac();
        inMac = inKey.newMac();
        this.counters = counters;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        byte[] body = ((Envelope) msg).toByteArray();
        byte[] mac = computeMac(outMac, outSequence++, body);
        ByteBuf frame = ctx.alloc().buffer(ClusterKey.MAC_BYTES + body.length);
        frame.writeBytes(mac, 0, ClusterKey.MAC_BYTES).writeBytes(body);
        counters.messagesSent.increment();
        counters.bytesSent.add(4L + frame.readableBytes());
        ctx.write(frame, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        byte[] mac = new byte[ClusterKey.MAC_BYTES];
        byte[] body;
        try {
            ByteBuf frame = (ByteBuf) msg;
            counters.bytesReceived.add(4L + frame.readableBytes());
            frame.readBytes(mac);
            body = new byte[frame.readableBytes()];
            frame.readBytes(body);
        } finally {
            ReferenceCountUtil.release(msg);
        }
        if (!Handshake.constantTimeEquals(
                mac, Arrays.copyOf(computeMac(inMac, inSequence++, body), mac.length))) {
            counters.authenticationFailures.increment();
            throw new IllegalArgumentException("frame has an invalid MAC");
        }
        counters.messagesReceived.increment();
        ctx.fireChannelRead(Envelope.parseFrom(body));
    }

    private static byte[] computeMac(Mac mac, long sequence, byte[] body) {
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(sequence).flip());
        return mac.doFinal(body);
    }
}
