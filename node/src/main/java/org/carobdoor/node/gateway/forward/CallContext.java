package org.carobdoor.node.gateway.forward;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.OptionalInt;
import org.carobdoor.internal.deployment.Account;
import org.carobdoor.internal.deployment.Route;
import org.carobdoor.internal.deployment.RouteKind;
import org.carobdoor.internal.deployment.Service;
import org.carobdoor.internal.request.CallerRequest;
import org.carobdoor.internal.request.EndpointAnswer;
import org.carobdoor.message.QuarantineEntry;
import org.carobdoor.message.RequestFeatures;
import org.carobdoor.node.gateway.front.Exchange;
import org.carobdoor.node.gateway.net.MessageFraming;

/**
 * A request with its route, service and account, as determined before an endpoint is selected.
 *
 * @param state the state shared by all requests of the node
 * @param exchange the caller's request and the response to it
 * @param request the decoded head of the request
 * @param route the route that matches the request
 * @param service the service that the request is sent to
 * @param account the caller's account; empty if the request is anonymous
 * @param features the features by which the request is recognized if it crashes endpoints
 * @param trial whether the request is the trial of a quarantined pattern, which is sent only once
 * @param units the units charged to the quota of the account
 * @param deadlineNanos when the response must be complete, in {@link System#nanoTime}
 */
record CallContext(
        ForwardingState state,
        Exchange exchange,
        CallerRequest request,
        Route route,
        Service service,
        Optional<Account> account,
        RequestFeatures features,
        boolean trial,
        double units,
        long deadlineNanos) {
    static final long NANOS_PER_MILLI = 1_000_000L;

    /** Returns when the caller stops waiting, in {@link System#nanoTime}. */
    long callerWaitsUntilNanos() {
        long millis = request.waitMillis().orElse(route.timeoutMillis());
        return exchange.arrivedNanos() + millis * NANOS_PER_MILLI;
    }

    long remainingMillis(long nowNanos) {
        return (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
    }

    /** Returns the quarantine entry that forbids sending the request now, if there is one. */
    Optional<QuarantineEntry> quarantineEntry() {
        return trial ? Optional.empty() : state.quarantine().find(features);
    }

    /** Returns whether a response is relayed event by event. */
    boolean isStream(EndpointAnswer decodedHead) {
        return route.kind() == RouteKind.STREAMING
                && decodedHead.isSuccess()
                && !MessageFraming.endsWithHead(
                        exchange.head().method(), HttpResponseStatus.valueOf(decodedHead.status()));
    }

    /**
     * Returns the rank of the request: that of the account, or else of the route; 0 is the highest.
     */
    int rank() {
        return account.map(Account::priority)
                .filter(OptionalInt::isPresent)
                .orElse(OptionalInt.of(route.priority()))
                .getAsInt();
    }

    String accountName() {
        return account.map(a -> a.id().value()).orElse("-");
    }
}
