package org.carobdoor.node.gateway.forward;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.carobdoor.internal.request.EndpointRequest;
import org.carobdoor.platform.EndpointHeaders;

/** Builds the headers of a request to an endpoint from those of the caller's request. */
final class EndpointRequestHeaders {
    private EndpointRequestHeaders() {}

    static void populate(
            FullHttpRequest message, HttpRequest callerRequest, EndpointRequest endpointRequest) {
        EndpointHeaders.encode(callerRequest.headers(), endpointRequest, message.headers());
        boolean hadBody =
                HttpUtil.isTransferEncodingChunked(callerRequest)
                        || callerRequest.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (hadBody) {
            message.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
        }
    }
}
