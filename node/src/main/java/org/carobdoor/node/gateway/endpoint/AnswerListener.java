package org.carobdoor.node.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.carobdoor.internal.request.EndpointAnswer;

/** Receives the answer to one request, on the event loop. */
public interface AnswerListener {

    /** The head of the answer arrived. */
    void onHead(HttpResponse head, EndpointAnswer answer);

    /** A part of the body arrived; the listener releases it. */
    void onContent(ByteBuf content);

    /** The whole answer has arrived. */
    void onEnd();

    /** No more of the answer will arrive; the request may have run. */
    void onBroken(String detail);
}
