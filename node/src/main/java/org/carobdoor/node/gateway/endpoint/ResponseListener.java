package org.carobdoor.node.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.carobdoor.internal.request.EndpointAnswer;

/** Receives the response to one request. Called on the event loop. */
public interface ResponseListener {

    /** The head of the response has arrived. */
    void onHead(HttpResponse head, EndpointAnswer decodedHead);

    /** A part of the body has arrived; the listener releases {@code content}. */
    void onContent(ByteBuf content);

    /** The complete response has arrived. */
    void onEnd();

    /**
     * The response is incomplete or invalid, and no more of it will arrive; the request may have
     * run.
     */
    void onFailure(String detail);

    /**
     * The connection was closed or reset before the response was complete; the request may have
     * run.
     */
    void onConnectionLost(String detail);
}
