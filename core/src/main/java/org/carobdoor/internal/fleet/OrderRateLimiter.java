package org.carobdoor.internal.fleet;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the rate of orders. The whole state is one instant, which is stored with the orders, so
 * the limit also holds when the lease changes hands.
 *
 * <p>Source: the generic cell rate algorithm, ITU-T Recommendation I.371.
 */
final class OrderRateLimiter {
    private OrderRateLimiter() {}

    /** Returns how many orders may be placed at {@code now}. */
    static int allowed(Instant from, Instant now, FleetSettings settings) {
        Instant start = later(from, now);
        long usedMillis = Duration.between(now, start).toMillis();
        long burstMillis = settings.orderInterval().toMillis() * settings.burst();
        return (int) Math.max(0, (burstMillis - usedMillis) / settings.orderInterval().toMillis());
    }

    /** Returns the state after {@code count} orders placed at {@code now}. */
    static Instant after(Instant from, Instant now, int count, FleetSettings settings) {
        return later(from, now).plus(settings.orderInterval().multipliedBy(count));
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }
}
