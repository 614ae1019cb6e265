package org.carobdoor.node.endpoint;

import org.carobdoor.internal.endpoint.EndpointRecord;

/** The use of an endpoint by one request; closing it ends the use. */
public interface EndpointUse extends AutoCloseable {

    /** Returns the endpoint. */
    EndpointRecord endpoint();

    /** Returns the model to request; empty for a plain service. */
    String model();

    /**
     * Returns whether the request may be sent now. Must be called immediately before the first byte
     * is sent, because a reclaim notice may have arrived after the endpoint was selected.
     */
    boolean startSend();

    /** Records that {@code count} more tokens have arrived. */
    void onTokens(int count);

    /** Records that the endpoint refused to start new work. */
    void refused();

    /** Records that the endpoint could not be reached or failed during the request. */
    void failed();

    /**
     * Returns the price of the machine time used so far, in the platform's currency. The price is
     * split between the requests that this node has in flight at the endpoint.
     */
    double cost();

    @Override
    void close();
}
