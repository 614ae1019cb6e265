package org.carobdoor.node.gateway.forward;

import java.util.Optional;
import org.carobdoor.internal.deployment.Account;
import org.carobdoor.internal.deployment.Route;
import org.carobdoor.internal.deployment.RouteKind;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.request.CallerRequest;
import org.carobdoor.internal.request.EndpointAnswer;
import org.carobdoor.node.gateway.front.Exchange;

/**
 * A request with what was decided about it before it is placed.
 *
 * @param state what the requests of the node share
 * @param exchange the request and its answer
 * @param request the decoded head
 * @param route the route that it takes
 * @param service the service that serves it
 * @param account the caller's account, unless the request is anonymous
 * @param units what it takes of the account's quota
 * @param deadlineNanos when it must have been answered, in {@link System#nanoTime}
 */
record CallContext(
        ForwardingState state,
        Exchange exchange,
        CallerRequest request,
        Route route,
        Service service,
        Optional<Account> account,
        double units,
        long deadlineNanos) {
    static final long NANOS_PER_MILLI = 1_000_000L;

    long millisLeft(long nowNanos) {
        return (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
    }

    /** Returns whether an answer is relayed event by event. */
    boolean isStream(EndpointAnswer answer) {
        return route.kind() == RouteKind.STREAMING && answer.isSuccess();
    }

    String accountName() {
        return account.map(a -> a.id().value()).orElse("-");
    }
}
