package org.carobdoor.node.work;

/**
 * Opens token streams from endpoints. The implementation selects the endpoint.
 *
 * <p>For a plain service, the whole response is delivered as one chunk.
 */
@FunctionalInterface
public interface TokenSource {

    /**
     * Opens a stream that continues the answer of {@code request} after its resume position. Called
     * on a virtual thread and may block. Failures are reported to {@code sink}.
     *
     * @return the open stream; closing it cancels the request
     */
    TokenStream open(TokenRequest request, TokenSink sink);
}
