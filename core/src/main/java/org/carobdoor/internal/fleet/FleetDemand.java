package org.carobdoor.internal.fleet;

import java.util.Optional;

/**
 * Estimates how many engines a service needs, from the engine time of arriving requests.
 *
 * <p>Before any request has arrived, the fleet that the operator started is the best estimate, and
 * it is known only once all its engines are listed. A node that has just started in front of an
 * existing fleet must not derive a size from missing measurements, so it returns no estimate until
 * it has measured the load. Every node keeps the estimate, so that the peak is known to whichever
 * node takes over the duties. Not thread-safe; confined to one thread.
 */
public final class FleetDemand {
    /** Weight of the latest measurement in the mean; measurements arrive twice per second. */
    private static final double NEWEST_WEIGHT = 0.12;

    /** Number of measurements with work after which the load counts as measured. */
    private static final int MIN_MEASUREMENTS = 8;

    /**
     * Time to wait for the list of endpoints: after a restart of the whole system they are listed
     * one by one.
     */
    private static final long OBSERVATION_NANOS = 4_000_000_000L;

    /**
     * Engines by which the peak falls per estimate while the load is lower. The decline is slow
     * because the cached prompts of a released engine are lost.
     */
    private static final double DECLINE_PER_ESTIMATE = 0.1;

    /**
     * Fraction of what the peak exceeds the current load by that it falls per estimate, if that is
     * more: the peak of a burst of seconds must not set the size of a large fleet for minutes.
     */
    private static final double EXCESS_DECLINE_PER_ESTIMATE = 0.03;

    /**
     * The same for the floor of the current need, for which on-demand engines are ordered, at
     * several times the price, while no reclaimable ones are available.
     */
    private static final double FLOOR_EXCESS_DECLINE_PER_ESTIMATE = 0.06;

    /** Fraction of the engines of the last peak that are kept even during low load. */
    private static final double MIN_PEAK_FRACTION = 0.75;

    /**
     * The engines that a service needs.
     *
     * @param peak the engines that carry the recent load including its peaks
     * @param now the engines that carry the current load
     */
    public record Engines(int peak, int now) {}

    private final double excessDecline;
    private final double floorExcessDecline;
    private double workMillisPerSecond;
    private int measurements;
    private double decayingPeak;
    private double decayingFloor;
    private int maxOnDemand;
    private boolean orderedByEarlierNode;
    private boolean observing;
    private long observedSinceNanos;

    /** Returns an estimator without any measurement. */
    public static FleetDemand create() {
        return new FleetDemand(EXCESS_DECLINE_PER_ESTIMATE, FLOOR_EXCESS_DECLINE_PER_ESTIMATE);
    }

    /** Returns an estimator whose peak falls at a constant rate, whatever its excess. */
    public static FleetDemand withConstantDecline() {
        return new FleetDemand(0, 0);
    }

    private FleetDemand(double excessDecline, double floorExcessDecline) {
        this.excessDecline = excessDecline;
        this.floorExcessDecline = floorExcessDecline;
    }

    /** Adds a measurement of the engine time of arriving requests, in milliseconds per second. */
    public void measured(double millisPerSecond) {
        if (millisPerSecond > 0) {
            measurements++;
        }
        // Starts with the arithmetic mean, since the idle time before the first requests would hide
        // the load.
        double weight = Math.max(NEWEST_WEIGHT, 1.0 / Math.max(1, measurements));
        workMillisPerSecond += weight * (millisPerSecond - workMillisPerSecond);
    }

    /** Returns the mean engine time of arriving requests, in milliseconds per second. */
    public double workMillisPerSecond() {
        return workMillisPerSecond;
    }

    /**
     * Returns the needed engines; empty while too little is known to order any.
     *
     * @param onDemand on-demand engines that are present
     * @param reclaimable reclaimable engines that are present
     */
    public Optional<Engines> estimate(int onDemand, int reclaimable, long nowNanos) {
        if (measurements >= MIN_MEASUREMENTS) {
            int now = EngineFleetPolicy.enginesFor(workMillisPerSecond);
            decayingPeak = declined(decayingPeak, now, excessDecline);
            decayingFloor = declined(decayingFloor, now, floorExcessDecline);
            int current = Math.max(now, ceil(decayingFloor * MIN_PEAK_FRACTION));
            return Optional.of(new Engines(ceil(decayingPeak), current));
        }
        if (!observing) {
            observing = true;
            observedSinceNanos = nowNanos;
        }
        if (nowNanos - observedSinceNanos < OBSERVATION_NANOS) {
            // This node has ordered nothing yet, so reclaimable engines were ordered by an earlier
            // node.
            orderedByEarlierNode |= reclaimable > 0;
            return Optional.empty();
        }
        maxOnDemand = Math.max(maxOnDemand, onDemand);
        if (orderedByEarlierNode || maxOnDemand == 0) {
            return Optional.empty();
        }
        decayingPeak = maxOnDemand;
        decayingFloor = maxOnDemand;
        return Optional.of(new Engines(maxOnDemand, maxOnDemand));
    }

    private static double declined(double peak, int now, double excessDecline) {
        double decline = Math.max(DECLINE_PER_ESTIMATE, excessDecline * (peak - now));
        return Math.max(now, peak - decline);
    }

    private static int ceil(double value) {
        return (int) Math.ceil(value);
    }
}
