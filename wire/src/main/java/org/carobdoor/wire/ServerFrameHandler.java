package org.carobdoor.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.carobdoor.NodeId;
import org.carobdoor.wire.proto.EnvelopeProto.Envelope;

/** Passes the envelopes of an authenticated incoming connection to the dispatcher. */
final class ServerFrameHandler extends SimpleChannelInboundHandler<Envelope> {
    private final NodeId peer;
    private final Dispatcher dispatcher;

    ServerFrameHandler(NodeId peer, Dispatcher dispatcher) {
        this.peer = peer;
        this.dispatcher = dispatcher;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Envelope envelope) {
        dispatcher.dispatch(peer, envelope, ctx.channel());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent) {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
