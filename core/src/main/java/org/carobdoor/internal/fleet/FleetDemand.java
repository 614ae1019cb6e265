package org.carobdoor.internal.fleet;

import java.util.Optional;

/**
 * Estimates how many engines a service needs, from the engine time of the requests that arrive.
 *
 * <p>Before any request has arrived the operator's own fleet is the best estimate, and it is known
 * only once all its engines are listed. A node that has just started in front of a fleet that was
 * ordered before must not judge by an empty measurement, so it estimates nothing until it has
 * measured. Belongs to one thread.
 */
public final class FleetDemand {
    /** Weight of the newest measurement in the mean; they come twice a second. */
    private static final double NEWEST_WEIGHT = 0.12;

    /** The load counts as measured once work has arrived in this many measurements. */
    private static final int MEASURED = 8;

    /** Endpoints are listed one by one after a start of everything. */
    private static final long OBSERVE_NANOS = 4_000_000_000L;

    /** Engines released per estimate while the load falls: the cached prompts of each are lost. */
    private static final double DECLINE = 0.1;

    /** Share of the engines of the last peak that are needed even in a lull. */
    private static final double LULL_SHARE = 0.75;

    /**
     * The engines that a service needs.
     *
     * @param peak those that carry the load of the last while, its peaks included
     * @param now those that carry the load of this moment
     */
    public record Engines(int peak, int now) {}

    private double workMillisPerSecond;
    private int measurements;
    private double held;
    private int mostLasting;
    private boolean orderedBefore;
    private boolean observing;
    private long observedSinceNanos;

    /** Returns an estimate without any measurement. */
    public static FleetDemand create() {
        return new FleetDemand();
    }

    private FleetDemand() {}

    /** Applies a measurement: the engine time of the requests that arrived, in ms a second. */
    public void measured(double millisPerSecond) {
        if (millisPerSecond > 0) {
            measurements++;
        }
        // The plain mean at first: the quiet before the first requests would hide the load.
        double weight = Math.max(NEWEST_WEIGHT, 1.0 / Math.max(1, measurements));
        workMillisPerSecond += weight * (millisPerSecond - workMillisPerSecond);
    }

    /** Returns the mean engine time of the requests that arrive, in milliseconds a second. */
    public double workMillisPerSecond() {
        return workMillisPerSecond;
    }

    /**
     * Returns the engines needed; empty while too little is known to order any.
     *
     * @param lasting lasting engines that are present
     * @param reclaimable reclaimable engines that are present
     */
    public Optional<Engines> estimate(int lasting, int reclaimable, long nowNanos) {
        if (measurements >= MEASURED) {
            int now = EngineFleetPolicy.enginesFor(workMillisPerSecond);
            held = Math.max(now, held - DECLINE);
            int peak = (int) Math.ceil(held);
            return Optional.of(new Engines(peak, Math.max(now, ceil(held * LULL_SHARE))));
        }
        if (!observing) {
            observing = true;
            observedSinceNanos = nowNanos;
        }
        if (nowNanos - observedSinceNanos < OBSERVE_NANOS) {
            // This node has ordered nothing yet: reclaimable engines are an earlier node's order.
            orderedBefore |= reclaimable > 0;
            return Optional.empty();
        }
        mostLasting = Math.max(mostLasting, lasting);
        if (orderedBefore || mostLasting == 0) {
            return Optional.empty();
        }
        held = mostLasting;
        return Optional.of(new Engines(mostLasting, mostLasting));
    }

    private static int ceil(double value) {
        return (int) Math.ceil(value);
    }
}
