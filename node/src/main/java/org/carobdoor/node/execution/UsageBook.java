package org.carobdoor.node.execution;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Sums what each request in execution has used, until its scope takes the sum. */
public final class UsageBook {
    /**
     * What a request has used.
     *
     * @param cost the price of the machine time, in the platform's currency
     * @param recomputedTokens tokens computed more than once
     */
    public record Usage(double cost, long recomputedTokens) {
        /** Nothing used. */
        public static final Usage NONE = new Usage(0, 0);

        Usage plus(double moreCost, long moreTokens) {
            return new Usage(cost + moreCost, recomputedTokens + moreTokens);
        }
    }

    private final ConcurrentMap<String, Usage> usages = new ConcurrentHashMap<>();

    /** Opens the sum of a request. Use of requests that were not opened is not kept. */
    public void open(String requestId) {
        usages.put(requestId, Usage.NONE);
    }

    /** Adds to the sum of a request. */
    public void add(String requestId, double cost, long recomputedTokens) {
        usages.computeIfPresent(requestId, (id, u) -> u.plus(cost, recomputedTokens));
    }

    /** Returns and forgets the sum of a request. */
    public Usage take(String requestId) {
        Usage usage = usages.remove(requestId);
        return usage == null ? Usage.NONE : usage;
    }
}
