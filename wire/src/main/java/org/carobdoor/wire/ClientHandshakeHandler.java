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

/**
 * The client side of the handshake. It proves possession of the cluster key, verifies the server's
 * proof, and then replaces itself in the pipeline with the frame codec.
 */
final class ClientHandshakeHandler extends SimpleChannelInboundHandler<ByteBuf> {

    /** Receives the result of the handshake, at most once. */
    interface HandshakeListener {
        void succeeded();

        void failed(String detail);
    }

    private final NodeId self;
    private final NodeId peer;
    private final ClusterKeys keys;
    private final TransportCounters counters;
    private final HandshakeListener listener;
    private final Duration timeout;
    private byte[] clientHello = new byte[0];
    private boolean completed;

    ClientHandshakeHandler(
            NodeId self,
            NodeId peer,
            ClusterKeys keys,
            TransportCounters counters,
            Duration timeout,
            HandshakeListener listener) {
        this.self = self;
        this.peer = peer;
        this.keys = keys;
        this.counters = counters;
        this.timeout = timeout;
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ClientHello.Builder builder =
                ClientHello.newBuilder()
                        .setVersion(Handshake.VERSION)
                        .setClient(self.value())
                        .setServer(peer.value())
                        .setNonce(ByteString.copyFrom(Handshake.newNonce()));
        keys.all().forEach(k -> builder.addKeyIds(k.id()));
        clientHello = builder.build().toByteArray();
        ctx.writeAndFlush(Unpooled.wrappedBuffer(clientHello));
        ctx.executor().schedule(() -> onTimeout(ctx), timeout.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void onTimeout(ChannelHandlerContext ctx) {
        if (!completed) {
            fail(ctx, "handshake timed out after " + timeout);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf msg) throws Exception {
        ServerHello reply = ServerHello.parseFrom(ByteBufUtil.getBytes(msg));
        Optional<ClusterKey> key = keys.find(reply.getKeyId());
        if (!reply.getRefusal().isEmpty()) {
            fail(ctx, "peer refused the connection: " + reply.getRefusal());
        } else if (key.isEmpty() || !reply.getServer().equals(peer.value())) {
            counters.authenticationFailures.increment();
            fail(ctx, "peer did not prove possession of a cluster key");
        } else {
            byte[] nonce = reply.getNonce().toByteArray();
            verifyServerProof(ctx, key.get(), nonce, reply.getProof().toByteArray());
        }
    }

    private void verifyServerProof(
            ChannelHandlerContext ctx, ClusterKey key, byte[] nonce, byte[] proof) {
        byte[] transcript = Handshake.transcript(clientHello, peer.value(), nonce, key.id());
        if (!Handshake.constantTimeEquals(proof, Handshake.serverProof(key, transcript))) {
            counters.authenticationFailures.increment();
            fail(ctx, "peer did not prove possession of a cluster key");
            return;
        }
        ByteString clientProof = ByteString.copyFrom(Handshake.clientProof(key, transcript));
        byte[] message = ClientProof.newBuilder().setProof(clientProof).build().toByteArray();
        ctx.writeAndFlush(Unpooled.wrappedBuffer(message));
        completed = true;
        ctx.pipeline().replace(this, "mac", Handshake.clientCodec(key, transcript, counters));
        listener.succeeded();
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
        if (!completed) {
            completed = true;
            listener.failed(detail);
        }
        ctx.close();
    }
}
