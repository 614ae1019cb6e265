package org.carobdoor.node.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.carobdoor.internal.request.EndpointAnswer;

/**
 * Is told what becomes of a sending. All but {@link #streamed} are the last call of a sending,
 * which has then given up its connection and its share of the endpoint's load.
 */
interface AttemptListener {

    /** No connection could be opened; nothing was sent. */
    void unreachable();

    /** The endpoint stated that it did not run the request. */
    void rejected(EndpointAnswer answer);

    /** Bytes of a stream have arrived; the listener releases them. */
    void streamed(HttpResponse head, ByteBuf content);

    /** A stream has ended as complete. */
    void streamEnded(HttpResponse head);

    /** The whole answer has arrived; the listener releases the body. */
    void answered(HttpResponse head, EndpointAnswer answer, ByteBuf body);

    /** The answer broke off, or was not an answer; the request may have run. */
    void broken();

    /** Returns whether the request could be given to another endpoint now. */
    boolean hasAlternative();

    /** No answer has come in the time that answers take; the sending was given up. */
    void slow();
}
