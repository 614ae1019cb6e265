package org.carobdoor.internal.fleet;

import java.time.Duration;
import java.time.Instant;

/**
 * Bounds the order rate. The whole state is one instant, which is stored with the orders, so the
 * bound holds across holders of the lease.
 *
 * <p>Source: the generic cell rate algorithm, ITU-T Recommendation I.371.
 */
final class OrderRate {
    private OrderRate() {}

    /** Returns how many orders may be placed at {@code now}. */
    static int allowed(Instant from, Instant now, FleetSettings s) {
        Instant start = later(from, now);
        long usedMillis = Duration.between(now, start).toMillis();
        long burstMillis = s.orderInterval().toMillis() * s.burst();
        return (int) Math.max(0, (burstMillis - usedMillis) / s.orderInterval().toMillis());
    }

    /** Returns the state after {@code n} orders placed at {@code now}. */
    static Instant after(Instant from, Instant now, int n, FleetSettings s) {
        return later(from, now).plus(s.orderInterval().multipliedBy(n));
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }
}
