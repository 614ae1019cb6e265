package org.carobdoor.node.gateway.front;

import org.carobdoor.internal.deployment.CallerLimits;

/** Handles the requests that callers send. */
public interface RequestHandler {

    /** Handles a complete request; the response may be written later. */
    void handle(Exchange exchange);

    /** Returns the current limits of what a caller may send. */
    CallerLimits limits();

    /**
     * Returns whether connections are closed after their current response because the node is
     * stopping.
     */
    boolean isStopping();
}
