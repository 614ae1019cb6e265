package org.carobdoor.node.execution;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Accumulates the usage of each running request until it is transferred to its accounting. */
public final class UsageTracker {
    /**
     * The usage of a request.
     *
     * @param cost the cost of the machine time, in the currency of the platform
     * @param recomputedTokens the number of tokens computed more than once
     */
    public record Usage(double cost, long recomputedTokens) {
        /** No usage. */
        public static final Usage NONE = new Usage(0, 0);

        Usage plus(double addedCost, long addedTokens) {
            return new Usage(cost + addedCost, recomputedTokens + addedTokens);
        }
    }

    private final ConcurrentMap<String, Usage> usageByRequest = new ConcurrentHashMap<>();

    /** Starts tracking a request. Usage of requests that are not tracked is ignored. */
    public void start(String requestId) {
        usageByRequest.put(requestId, Usage.NONE);
    }

    /** Adds to the usage of a request. */
    public void add(String requestId, double cost, long recomputedTokens) {
        usageByRequest.computeIfPresent(requestId, (id, u) -> u.plus(cost, recomputedTokens));
    }

    /** Stops tracking a request and returns its usage. */
    public Usage remove(String requestId) {
        Usage usage = usageByRequest.remove(requestId);
        return usage == null ? Usage.NONE : usage;
    }
}
