package org.carobdoor.node.gateway.forward;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.carobdoor.internal.request.EndpointRequest;
import org.carobdoor.platform.EndpointHeaders;

/** Fills the head of a request to an endpoint from that of the caller. */
final class EndpointPassing {
    private EndpointPassing() {}

    static void fill(FullHttpRequest message, HttpRequest from, EndpointRequest request) {
        EndpointHeaders.encode(from.headers(), request, message.headers());
        boolean hadBody =
                HttpUtil.isTransferEncodingChunked(from)
                        || from.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (hadBody) {
            message.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
        }
    }
}
