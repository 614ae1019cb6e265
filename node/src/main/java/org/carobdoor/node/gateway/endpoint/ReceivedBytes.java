package org.carobdoor.node.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Counts the bytes of an answer before they are decoded, since not all become part of a message:
 * empty lines before the head, interim answers and answers to other requests do not.
 */
final class ReceivedBytes extends ChannelInboundHandlerAdapter implements AutoCloseable {
    private final AnswerSpace space;
    private final Runnable tooMany;
    private long held;
    private boolean closed;

    /**
     * Creates the count of a connection.
     *
     * @param tooMany runs when the answer must not go on
     */
    ReceivedBytes(AnswerSpace space, Runnable tooMany) {
        this.space = space;
        this.tooMany = tooMany;
    }

    /** Notes that what has arrived is no longer held. */
    void release() {
        space.release(held);
        held = 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (closed) {
            ReferenceCountUtil.release(msg);
            return;
        }
        int added = ((ByteBuf) msg).readableBytes();
        held += added;
        if (space.add(added, held)) {
            ctx.fireChannelRead(msg);
        } else {
            ReferenceCountUtil.release(msg);
            tooMany.run();
        }
    }

    @Override
    public void close() {
        closed = true;
        release();
    }
}
