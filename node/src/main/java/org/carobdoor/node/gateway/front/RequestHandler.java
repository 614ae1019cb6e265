package org.carobdoor.node.gateway.front;

import org.carobdoor.internal.deployment.CallerLimits;

/** Serves the requests that arrive on callers' connections. */
public interface RequestHandler {

    /** Serves a whole request; the answer may be written later. */
    void handle(Exchange exchange);

    /** Returns the bounds of what a caller may send now. */
    CallerLimits limits();

    /** Returns whether connections end after their current answer, since the node is stopping. */
    boolean isStopping();
}
