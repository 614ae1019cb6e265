package org.carobdoor.node.gateway.forward;

import org.carobdoor.internal.capacity.ExpectedTimes;
import org.carobdoor.internal.placement.EndpointLoad;
import org.carobdoor.node.gateway.endpoint.LearnedCapacities;

/**
 * Measures how long one request takes at an endpoint: until the first token of an engine, until the
 * answer of a plain service. Requests to an endpoint that warms up are not measured.
 */
final class ServiceTimeProbe {
    /** A request without an answer says that the endpoint is slow from this multiple on. */
    private static final double MIN_UNANSWERED_FACTOR = 3;

    private final LearnedCapacities capacities;
    private final EndpointLoad endpoint;
    private final double expectedMillis;
    private final double load;
    private final long startNanos;
    private final boolean warm;

    private ServiceTimeProbe(
            LearnedCapacities capacities,
            EndpointLoad endpoint,
            double expectedMillis,
            long startNanos) {
        this.capacities = capacities;
        this.endpoint = endpoint;
        this.expectedMillis = expectedMillis;
        this.load = load();
        this.startNanos = startNanos;
        this.warm = endpoint.remainingWarmUpMillis(startNanos) <= 0;
    }

    /**
     * Starts to measure a request that is sent now.
     *
     * @param unreadTokens the prompt tokens that an engine reads before the first token
     */
    static ServiceTimeProbe start(
            CallContext call, EndpointLoad endpoint, long unreadTokens, long nowNanos) {
        boolean engine = call.service().engine().isPresent() && call.request().prompt().isPresent();
        return new ServiceTimeProbe(
                call.state().endpoints().capacities(),
                endpoint,
                engine
                        ? ExpectedTimes.engineMillis(unreadTokens)
                        : ExpectedTimes.plainMillis(call.route().objectiveMillis()),
                nowNanos);
    }

    /** The load at the start and at the end, of which the higher one explains a long time. */
    private double load() {
        return (double) endpoint.totalRunning() / Math.max(1, endpoint.entry().slots());
    }

    /**
     * Records the measured time.
     *
     * @param answered whether the endpoint has answered; otherwise the time counts only if it is
     *     already long
     */
    void end(boolean answered, long nowNanos) {
        double millis = (nowNanos - startNanos) / (double) CallContext.NANOS_PER_MILLI;
        if (warm && (answered || millis > expectedMillis * MIN_UNANSWERED_FACTOR)) {
            capacities.record(endpoint, Math.max(load, load()), expectedMillis, millis);
        }
    }
}
