package org.carobdoor.wire;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.carobdoor.NodeId;
import org.carobdoor.wire.proto.EnvelopeProto.ClientHello;
import org.carobdoor.wire.proto.EnvelopeProto.ClientProof;
import org.carobdoor.wire.proto.EnvelopeProto.ServerHello;

/** Proves the cluster key to a server, checks the server's proof, and then makes way. */
final class ClientHandshakeHandler extends SimpleChannelInboundHandler<ByteBuf> {

    /** Is told how the handshake ended. */
    interface Outcome {
        void succeeded();

        void failed(String detail);
    }

    private final NodeId self;
    private final NodeId peer;
    private final ClusterKeys keys;
    private final TransportCounters counters;
    private final Outcome outcome;
    private final Duration timeout;
    private byte[] hello = new byte[0];
    private boolean ended;

    ClientHandshakeHandler(
            NodeId self,
            NodeId peer,
            ClusterKeys keys,
            TransportCounters counters,
            Duration timeout,
            Outcome out) {
        this.self = self;
        this.peer = peer;
        this.keys = keys;
        this.counters = counters;
        this.timeout = timeout;
        this.outcome = out;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ClientHello.Builder b =
                ClientHello.newBuilder()
                        .setVersion(Handshake.VERSION)
                        .setClient(self.value())
                        .setServer(peer.value())
                        .setNonce(ByteString.copyFrom(Handshake.newNonce()));
        keys.all().forEach(k -> b.addKeyIds(k.id()));
        hello = b.build().toByteArray();
        ctx.writeAndFlush(Unpooled.wrappedBuffer(hello));
        ctx.executor().schedule(() -> expire(ctx), timeout.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void expire(ChannelHandlerContext ctx) {
        if (!ended) {
            fail(ctx, "no answer to the handshake within " + timeout);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf msg) throws Exception {
        ServerHello reply = ServerHello.parseFrom(ByteBufUtil.getBytes(msg));
        Optional<ClusterKey> key = keys.find(reply.getKeyId());
        if (!reply.getRefusal().isEmpty()) {
            fail(ctx, "refused: " + reply.getRefusal());
        } else if (key.isEmpty() || !reply.getServer().equals(peer.value())) {
            counters.authenticationFailures.increment();
            fail(ctx, "the peer proved no valid cluster key");
        } else {
            byte[] nonce = reply.getNonce().toByteArray();
            finish(ctx, key.get(), nonce, reply.getProof().toByteArray());
        }
    }

    private void finish(ChannelHandlerContext ctx, ClusterKey key, byte[] nonce, byte[] proof) {
        byte[] transcript = Handshake.transcript(hello, peer.value(), nonce, key.id());
        if (!Handshake.isEqual(proof, Handshake.serverProof(key, transcript))) {
            counters.authenticationFailures.increment();
            fail(ctx, "the peer proved no valid cluster key");
            return;
        }
        ByteString own = ByteString.copyFrom(Handshake.clientProof(key, transcript));
        byte[] message = ClientProof.newBuilder().setProof(own).build().toByteArray();
        ctx.writeAndFlush(Unpooled.wrappedBuffer(message));
        ended = true;
        ctx.pipeline().replace(this, "mac", Handshake.clientCodec(key, transcript, counters));
        outcome.succeeded();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail(ctx, "connection closed during the handshake");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(ctx, "handshake failed: " + cause);
    }

    private void fail(ChannelHandlerContext ctx, String detail) {
        if (!ended) {
            ended = true;
            outcome.failed(detail);
        }
        ctx.close();
    }
}
