package org.carobdoor.internal.work;

import java.time.Duration;

/**
 * Timeouts and delays for accepted requests.
 *
 * @param acceptWithin how long the reply to the caller may wait for a copy to be confirmed
 * @param ackWithin how long progress may stay unacknowledged before the copy holder is replaced
 * @param retryAfter delay before a failed step is retried
 * @param isolationTimeout how long a node that took over a request and reaches no peer waits before
 *     it continues without a copy
 * @param retiredRetention how long a {@link RetiredRole} is kept; longer than any message can be
 *     delayed
 */
public record WorkTimes(
        Duration acceptWithin,
        Duration ackWithin,
        Duration retryAfter,
        Duration isolationTimeout,
        Duration retiredRetention) {

    /** Returns the values used in production. */
    public static WorkTimes defaults() {
        return new WorkTimes(
                Duration.ofSeconds(2),
                Duration.ofSeconds(2),
                Duration.ofMillis(500),
                Duration.ofSeconds(5),
                Duration.ofMinutes(5));
    }
}
