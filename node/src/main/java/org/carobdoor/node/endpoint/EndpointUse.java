package org.carobdoor.node.endpoint;

import org.carobdoor.internal.endpoint.EndpointRecord;

/** One use of an endpoint by one request; closing it ends the use. */
public interface EndpointUse extends AutoCloseable {

    /** Returns the endpoint. */
    EndpointRecord endpoint();

    /** Returns the model to ask for; empty for a plain service. */
    String model();

    /**
     * Returns whether the request may be sent now. Call it immediately before the first byte, since
     * the endpoint may have been announced to leave after it was chosen.
     */
    boolean startSend();

    /** Records that {@code count} tokens more have arrived. */
    void onTokens(int count);

    /** Records that the endpoint refused to start new work. */
    void refused();

    /** Records that the endpoint could not be reached or broke off. */
    void failed();

    /**
     * Returns the price of the machine time used so far, in the platform's currency. Requests that
     * this node has at the endpoint at the same time share its price.
     */
    double cost();

    @Override
    void close();
}
