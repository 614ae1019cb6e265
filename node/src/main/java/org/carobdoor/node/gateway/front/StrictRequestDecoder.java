package org.carobdoor.node.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Decodes requests and rejects those of ambiguous length, which a caller could use to smuggle a
 * second request inside the first.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 8 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final char DELETE = 0x7f;

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
        if (msg instanceof ByteBuf bytes) {
            handler.onBytesReceived(bytes.readableBytes());
        }
        super.channelRead(ctx, msg);
    }

    /**
     * Rejects request lines that the decoder would repair and the encoder would write otherwise.
     */
    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        String version = initialLine[2];
        if (!version.equals(HttpVersion.HTTP_1_1.text())
                && !version.equals(HttpVersion.HTTP_1_0.text())) {
            throw new IllegalArgumentException("request line does not end with HTTP/1.0 or 1.1");
        }
        if (!isPrintableAscii(initialLine[0]) || !isPrintableAscii(initialLine[1])) {
            throw new IllegalArgumentException("request line is not printable ASCII");
        }
        return super.createMessage(initialLine);
    }

    private static boolean isPrintableAscii(String text) {
        return text.chars().allMatch(c -> c > ' ' && c < DELETE);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Transfer-Encoding and Content-Length");
    }
}
