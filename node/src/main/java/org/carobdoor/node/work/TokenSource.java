package org.carobdoor.node.work;

/**
 * Opens token streams at endpoints. The implementation chooses the endpoint.
 *
 * <p>A plain service is a source whose answer is one chunk.
 */
@FunctionalInterface
public interface TokenSource {

    /**
     * Opens a stream that continues the answer of {@code request} after its resume position. Called
     * on a virtual thread, and may block. Failures are given to {@code sink}.
     *
     * @return the stream, which is closed to cancel it
     */
    TokenStream open(TokenRequest request, TokenSink sink);
}
