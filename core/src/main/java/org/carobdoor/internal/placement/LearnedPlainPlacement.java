package org.carobdoor.internal.placement;

import java.util.Collection;

/**
 * Chooses the endpoint of a plain service by learned capacity.
 *
 * <p>This policy is designed for large clusters, whose nodes know little of each other's present
 * load, and for endpoints that differ in speed or slow down before their slots are in use.
 */
public final class LearnedPlainPlacement {
    /** Penalty for an endpoint that is silent with work outstanding and may be dead. */
    private static final double SUSPECT_PENALTY_MILLIS = 2_000;

    /** Share of the expected time by which a fully loaded endpoint is worse than an idle one. */
    private static final double LOAD_PREFERENCE = 0.3;

    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private LearnedPlainPlacement() {}

    /**
     * Chooses among {@code endpoints}, the endpoints that accept new requests.
     *
     * @param expectedMillis the time that the request takes at an unloaded endpoint, see {@link
     *     org.carobdoor.internal.capacity.ExpectedTimes}
     * @param maxExpectedMillis maximum acceptable time to the answer
     */
    public static Placement choose(
            Collection<EndpointLoad> endpoints,
            double expectedMillis,
            DecisionView view,
            double maxExpectedMillis) {
        RandomizedSelector selector = new RandomizedSelector(view);
        EstimatedLoad estimate = new EstimatedLoad(endpoints, view.newsAgeMillis(), expectedMillis);
        for (EndpointLoad e : endpoints) {
            double running = estimate.running(e);
            double load = (running + 1) / Math.max(1, e.entry().slots());
            double factor = e.capacity().timeFactor(load) * (1 + LOAD_PREFERENCE * load);
            double millis = expectedMillis * factor;
            millis += view.roundTripMillis().applyAsDouble(e.entry().zone());
            boolean suspect = e.isSuspect(view.nowNanos());
            if (suspect) {
                millis += SUSPECT_PENALTY_MILLIS;
            }
            int limit = e.capacity().limit();
            selector.add(
                    new RandomizedSelector.Candidate(
                            e,
                            millis,
                            0,
                            RandomizedSelector.drawWeight(e),
                            running < limit && !suspect,
                            false,
                            e.totalRunning() == 0));
        }
        return selector.result(maxExpectedMillis, MIN_RETRY_AFTER_MILLIS);
    }
}
