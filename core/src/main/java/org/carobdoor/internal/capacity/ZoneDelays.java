package org.carobdoor.internal.capacity;

import java.util.HashMap;
import java.util.Map;
import org.carobdoor.AvailabilityZone;

/**
 * The round-trip times to the endpoints of each zone, measured when connections are opened. The
 * shortest recent time counts, because the others include waits at the endpoint.
 *
 * <p>Not thread-safe.
 */
public final class ZoneDelays {
    /** Assumed additional round trip to another zone until both zones are measured. */
    private static final double DEFAULT_MILLIS = 2;

    private static final double MAX_MILLIS = 1_000;

    /** By this fraction of the difference a longer time raises the value. */
    private static final double RAISE_WEIGHT = 0.02;

    private final Map<AvailabilityZone, Double> shortest = new HashMap<>();

    private ZoneDelays() {}

    /** Returns delays without measurements. */
    public static ZoneDelays create() {
        return new ZoneDelays();
    }

    /** Records the time of opening a connection; values that are not positive are ignored. */
    public void record(AvailabilityZone zone, double millis) {
        if (millis > 0 && millis <= MAX_MILLIS) {
            shortest.merge(zone, millis, (old, t) -> t < old ? t : old + RAISE_WEIGHT * (t - old));
        }
    }

    /** Returns by how much the round trip from {@code own} to {@code zone} is longer. */
    public double additionalMillis(AvailabilityZone own, AvailabilityZone zone) {
        if (own.equals(zone)) {
            return 0;
        }
        Double here = shortest.get(own);
        Double there = shortest.get(zone);
        return here == null || there == null ? DEFAULT_MILLIS : Math.max(0, there - here);
    }
}
