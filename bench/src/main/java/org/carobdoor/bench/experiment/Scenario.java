package org.carobdoor.bench.experiment;

import java.util.List;
import java.util.function.Predicate;
import org.carobdoor.internal.fleet.FleetNeed;
import org.carobdoor.internal.fleet.Offer;

/**
 * The parameters of a run.
 *
 * @param workload the requests
 * @param routing the policy under test
 * @param resumption how requests continue when their endpoint is reclaimed
 * @param offers which VM offers of the platform the planner may use
 * @param need the capacity that the fleet planner maintains; a large VM counts 100
 * @param nodes the number of nodes
 * @param seconds the duration of request arrivals, in seconds
 * @param waves the reclaims by the platform
 * @param noticeSeconds the time between a notice and the reclaim, in seconds
 * @param admissionEnabled whether admission control may shed requests
 */
record Scenario(
        Workload workload,
        Routing routing,
        Resumption resumption,
        Predicate<Offer> offers,
        FleetNeed need,
        int nodes,
        int seconds,
        List<ReclaimWave> waves,
        double noticeSeconds,
        boolean admissionEnabled) {

    /** The routing policy under test. */
    enum Routing {
        AFFINITY,
        LEAST_OUTSTANDING,
        ROUND_ROBIN,
        RANDOM
    }

    /** How an interrupted request continues. */
    enum Resumption {
        /** It restarts from its first token. */
        RESTART,
        /** It continues after the tokens that were already emitted. */
        CONTINUE,
        /**
         * KV caches are exported as far as the notice allows; other requests use {@link #CONTINUE}.
         */
        EXPORT
    }

    /**
     * Simultaneous reclaim notices for a share of the reclaimable VMs.
     *
     * @param atSeconds the time after the start of the arrivals
     * @param zone the zone, or empty for all zones
     * @param share the probability that an eligible VM is reclaimed
     */
    record ReclaimWave(double atSeconds, String zone, double share) {}

    Scenario with(Routing r) {
        return new Scenario(
                workload,
                r,
                resumption,
                offers,
                need,
                nodes,
                seconds,
                waves,
                noticeSeconds,
                admissionEnabled);
    }

    Scenario with(Resumption r) {
        return new Scenario(
                workload,
                routing,
                r,
                offers,
                need,
                nodes,
                seconds,
                waves,
                noticeSeconds,
                admissionEnabled);
    }

    Scenario withFleet(Predicate<Offer> o, FleetNeed n) {
        return new Scenario(
                workload,
                routing,
                resumption,
                o,
                n,
                nodes,
                seconds,
                waves,
                noticeSeconds,
                admissionEnabled);
    }
}
