package org.carobdoor.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;

/** Passes the envelopes and channel events of an outgoing connection to its link. */
final class ClientFrameHandler extends SimpleChannelInboundHandler<Envelope> {
    private final PeerLink link;
    private String closeReason = "connection closed by the peer";

    ClientFrameHandler(PeerLink link) {
        this.link = link;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Envelope envelope) {
        link.received(ctx.channel(), envelope);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        link.flush(ctx.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        link.disconnected(ctx.channel(), closeReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable t) {
        closeReason = "connection failed: " + t;
        ctx.close();
    }
}
