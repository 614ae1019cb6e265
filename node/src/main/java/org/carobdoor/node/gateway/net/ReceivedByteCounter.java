package org.carobdoor.node.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Counts the bytes of responses before they are decoded, since not all of them become part of a
 * message: empty lines before the head, interim responses and responses to other requests do not.
 */
public final class ReceivedByteCounter extends ChannelInboundHandlerAdapter
        implements AutoCloseable {
    private final ResponseBufferLimit bufferLimit;
    private final Runnable onLimitExceeded;
    private long heldBytes;
    private boolean closed;

    /**
     * Creates the counter of a connection.
     *
     * @param onLimitExceeded runs when the response must not continue
     */
    public ReceivedByteCounter(ResponseBufferLimit bufferLimit, Runnable onLimitExceeded) {
        this.bufferLimit = bufferLimit;
        this.onLimitExceeded = onLimitExceeded;
    }

    /** Returns the number of bytes counted since the last release. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Releases all counted bytes, which are no longer buffered. */
    public void release() {
        bufferLimit.release(heldBytes);
        heldBytes = 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (closed) {
            ReferenceCountUtil.release(msg);
            return;
        }
        int added = ((ByteBuf) msg).readableBytes();
        heldBytes += added;
        if (bufferLimit.add(added, heldBytes)) {
            ctx.fireChannelRead(msg);
        } else {
            ReferenceCountUtil.release(msg);
            onLimitExceeded.run();
        }
    }

    @Override
    public void close() {
        closed = true;
        release();
    }
}
