package org.carobdoor.bench.experiment;

import java.util.List;
import java.util.function.Predicate;
import org.carobdoor.internal.fleet.FleetNeed;
import org.carobdoor.internal.fleet.Offer;

/**
 * What one run does.
 *
 * @param workload the requests
 * @param routing the policy under test
 * @param resumption what becomes of streams whose endpoint is reclaimed
 * @param offers which of the platform's offers may be used
 * @param need the capacity that the fleet planner keeps; an engine of the large class counts 100
 * @param nodes the number of nodes
 * @param seconds how long requests arrive
 * @param waves what the platform reclaims
 * @param noticeSeconds the time from a notice to the reclaim
 * @param admits whether admission may shed
 */
record Scenario(
        Workload workload,
        Routing routing,
        Resumption resumption,
        Predicate<Offer> offers,
        FleetNeed need,
        int nodes,
        int seconds,
        List<Wave> waves,
        double noticeSeconds,
        boolean admits) {

    /** The routing policy. */
    enum Routing {
        AFFINITY,
        LEAST_OUTSTANDING,
        ROUND_ROBIN,
        RANDOM
    }

    /** What becomes of an interrupted stream. */
    enum Resumption {
        /** It starts again with its first token. */
        RESTART,
        /** It continues after the tokens emitted. */
        CONTINUE,
        /** As much KV cache as possible is exported within the notice; the rest continues. */
        EXPORT
    }

    /**
     * Reclaimable VMs that get a notice at once.
     *
     * @param atSeconds when, counted from the first request
     * @param zone the zone, or empty for all zones
     * @param share the share of the VMs concerned
     */
    record Wave(double atSeconds, String zone, double share) {}

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
                admits);
    }

    Scenario with(Resumption r) {
        return new Scenario(
                workload, routing, r, offers, need, nodes, seconds, waves, noticeSeconds, admits);
    }

    Scenario buying(Predicate<Offer> o, FleetNeed n) {
        return new Scenario(
                workload, routing, resumption, o, n, nodes, seconds, waves, noticeSeconds, admits);
    }
}
