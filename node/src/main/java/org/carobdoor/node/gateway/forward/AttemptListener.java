package org.carobdoor.node.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.request.EndpointAnswer;

/**
 * Receives the events of an {@link EndpointAttempt}. Each event except {@link #onStreamData} is the
 * last one of its attempt, which has then released its connection and its share of the endpoint's
 * load.
 */
interface AttemptListener {

    /** No connection could be opened; nothing was sent. */
    void onUnreachable();

    /** The endpoint began to leave, or left, after it had been chosen; nothing was sent. */
    void onEndpointLeaving();

    /** Returns whether an endpoint, as it is now, may still get the request. */
    boolean isUsable(EndpointEntry endpoint);

    /** The endpoint stated that it did not run the request. */
    void onRejected(EndpointAnswer decodedHead);

    /** Bytes of a streamed response have arrived; the listener releases {@code content}. */
    void onStreamData(HttpResponse head, ByteBuf content);

    /**
     * Returns whether a streamed response that has ended is complete: it has not ended inside an
     * event, and if only the end of its connection marks its end, at least one event has arrived.
     */
    boolean isStreamComplete(HttpResponse head);

    /** A streamed response is complete. */
    void onStreamEnd(HttpResponse head);

    /** The complete response has arrived; the listener releases {@code body}. */
    void onResponse(HttpResponse head, EndpointAnswer decodedHead, ByteBuf body);

    /**
     * The response was interrupted or is invalid; the request may have run.
     *
     * @param crashPossible whether the request may have crashed the endpoint
     */
    void onBrokenResponse(boolean crashPossible);

    /** The request matches a pattern that was quarantined after it arrived; nothing was sent. */
    void onQuarantined();

    /** Returns whether another endpoint can take the request now. */
    boolean hasOtherEndpoint();

    /** No response arrived within the expected time, and the attempt was abandoned. */
    void onSlowResponse();
}
