package org.carobdoor.internal.deployment;

import java.util.List;

/**
 * The configuration of requests to one host and path prefix.
 *
 * @param name the operator's name of the route
 * @param host the host that the requests name
 * @param pathPrefix the prefix of their paths; begins and ends with a slash
 * @param kind whether the requests may be repeated
 * @param timeoutMillis the longest time that a request may wait for its complete answer
 * @param objectiveMillis the latency objective of the complete answer, or of the first event of a
 *     stream
 * @param eventGapMillis the longest gap between two events of a stream that meets the objective; 0
 *     if there is none
 * @param priority the rank of the requests, 0 is the highest
 * @param services the services that share the requests
 * @param maxAttempts the maximum number of endpoints that one request is sent to
 * @param anonymous whether requests without a key are served
 * @param promptAffinity whether requests declare the parts of their prompts
 * @param resumable whether a stream may be continued at another endpoint
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long eventGapMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean anonymous,
        boolean promptAffinity,
        boolean resumable) {

    /** Copies the list of services. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Returns whether a request may be run again when it is unknown whether its first run took
     * effect.
     */
    public boolean isRepeatable() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
    }

    /**
     * Returns the service that a request is sent to, chosen by weight.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive)
     */
    public String pickService(double draw) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = draw * total;
        for (WeightedService s : services) {
            remaining -= s.weight();
            if (remaining < 0) {
                return s.service();
            }
        }
        return services.getLast().service();
    }
}
