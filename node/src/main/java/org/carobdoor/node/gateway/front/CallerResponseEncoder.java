package org.carobdoor.node.gateway.front;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes responses, without a body if they have none by the protocol. */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private final CallerConnectionHandler handler;

    CallerResponseEncoder(CallerConnectionHandler handler) {
        this.handler = handler;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return handler.isAnsweringHead() || super.isContentAlwaysEmpty(response);
    }
}
