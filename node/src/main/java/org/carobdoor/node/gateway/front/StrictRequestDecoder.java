package org.carobdoor.node.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those of ambiguous length, which a caller could use to smuggle a
 * second request inside the first.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 8 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final CallerConnectionHandler handler;

    StrictRequestDecoder(CallerConnectionHandler handler, int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(Math.min(MAX_LINE_BYTES, maxHeaderBytes))
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setMaxChunkSize(MAX_CHUNK_BYTES)
                        .setAllowDuplicateContentLengths(false));
        this.handler = handler;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        if (msg instanceof ByteBuf) {
            handler.onBytesReceived();
        }
        super.channelRead(ctx, msg);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Transfer-Encoding and Content-Length");
    }
}
