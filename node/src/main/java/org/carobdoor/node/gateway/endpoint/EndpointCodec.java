package org.carobdoor.node.gateway.endpoint;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Encodes requests and decodes their responses on a connection that carries one request at a time.
 *
 * <p>All responses are taken for ones to the last request. {@code HttpClientCodec} counts them
 * instead, interim ones too, and then expects the body of a response to HEAD.
 */
final class EndpointCodec
        extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    private final Decoder decoder;
    private boolean headRequest;

    EndpointCodec(HttpDecoderConfig config) {
        decoder = new Decoder(config);
        init(decoder, new Encoder());
    }

    /** Returns whether bytes have been received that are not decoded yet. */
    boolean hasBufferedBytes() {
        return decoder.hasBufferedBytes();
    }

    private final class Encoder extends HttpRequestEncoder {
        @Override
        protected void encode(ChannelHandlerContext ctx, Object msg, List<Object> out)
                throws Exception {
            if (msg instanceof HttpRequest request) {
                headRequest = request.method().equals(HttpMethod.HEAD);
            }
            super.encode(ctx, msg, out);
        }
    }

    private final class Decoder extends HttpResponseDecoder {
        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        boolean hasBufferedBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage msg) {
            return headRequest || super.isContentAlwaysEmpty(msg);
        }

        /** No request asks for another protocol, so what follows is still HTTP. */
        @Override
        protected boolean isSwitchingToNonHttp1Protocol(HttpResponse msg) {
            return false;
        }
    }
}
