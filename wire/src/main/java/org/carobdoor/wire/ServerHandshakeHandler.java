package org.carobdoor.wire;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import org.carobdoor.NodeId;
import org.carobdoor.wire.proto.EnvelopeProto.ClientHello;
import org.carobdoor.wire.proto.EnvelopeProto.ClientProof;
import org.carobdoor.wire.proto.EnvelopeProto.ServerHello;
import org.jspecify.annotations.Nullable;

/**
 * The server side of the handshake. It proves possession of the cluster key, verifies the client's
 * proof, and then replaces itself in the pipeline with the frame codec.
 */
final class ServerHandshakeHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final NodeId self;
    private final ClusterKeys keys;
    private final Dispatcher dispatcher;
    private final TransportCounters counters;
    private @Nullable ClusterKey key;
    private byte[] transcript = new byte[0];
    private String client = "";

    ServerHandshakeHandler(
            NodeId self, ClusterKeys keys, Dispatcher dispatcher, TransportCounters counters) {
        this.self = self;
        this.keys = keys;
        this.dispatcher = dispatcher;
        this.counters = counters;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf msg) throws Exception {
        byte[] bytes = ByteBufUtil.getBytes(msg);
        ClusterKey k = key;
        if (k == null) {
            handleClientHello(ctx, bytes);
        } else {
            verifyClientProof(ctx, k, ClientProof.parseFrom(bytes).getProof().toByteArray());
        }
    }

    private void handleClientHello(ChannelHandlerContext ctx, byte[] bytes) throws Exception {
        ClientHello hello = ClientHello.parseFrom(bytes);
        if (hello.getVersion() != Handshake.VERSION || hello.getClient().isBlank()) {
            refuse(ctx, "unsupported protocol version: " + hello.getVersion());
            return;
        }
        if (!hello.getServer().equals(self.value())) {
            refuse(ctx, "this is node " + self);
            return;
        }
        Optional<ClusterKey> shared =
                keys.all().stream().filter(k -> hello.getKeyIdsList().contains(k.id())).findFirst();
        if (shared.isEmpty()) {
            counters.authenticationFailures.increment();
            refuse(ctx, "no common cluster key");
            return;
        }
        byte[] nonce = Handshake.newNonce();
        key = shared.get();
        client = hello.getClient();
        transcript = Handshake.transcript(bytes, self.value(), nonce, key.id());
        ServerHello reply =
                ServerHello.newBuilder()
                        .setServer(self.value())
                        .setNonce(ByteString.copyFrom(nonce))
                        .setKeyId(key.id())
                        .setProof(ByteString.copyFrom(Handshake.serverProof(key, transcript)))
                        .build();
        ctx.writeAndFlush(Unpooled.wrappedBuffer(reply.toByteArray()));
    }

    private void verifyClientProof(ChannelHandlerContext ctx, ClusterKey k, byte[] proof) {
        if (!Handshake.constantTimeEquals(proof, Handshake.clientProof(k, transcript))) {
            counters.authenticationFailures.increment();
            ctx.close();
            return;
        }
        ctx.pipeline().addLast(new ServerFrameHandler(new NodeId(client), dispatcher));
        ctx.pipeline().replace(this, "mac", Handshake.serverCodec(k, transcript, counters));
    }

    private void refuse(ChannelHandlerContext ctx, String reason) {
        ServerHello reply = ServerHello.newBuilder().setRefusal(reason).build();
        ctx.writeAndFlush(Unpooled.wrappedBuffer(reply.toByteArray()))
                .addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
