package org.carobdoor.internal.work;

import java.time.Duration;

/**
 * Intervals of accepted work.
 *
 * @param acceptWithin how long an unsettled copy may delay the answer to the caller
 * @param ackWithin how long progress may stay unacknowledged before the holder is replaced
 * @param retryAfter pause before a step that failed is tried again
 * @param aloneAfter how long a node that reaches no peer waits before it continues without a copy
 * @param forgetAfter how long a node remembers that it gave up a part; longer than any message can
 *     be delayed
 */
public record WorkTimes(
        Duration acceptWithin,
        Duration ackWithin,
        Duration retryAfter,
        Duration aloneAfter,
        Duration forgetAfter) {

    /** Returns the intervals used in production. */
    public static WorkTimes defaults() {
        return new WorkTimes(
                Duration.ofSeconds(2),
                Duration.ofSeconds(2),
                Duration.ofMillis(500),
                Duration.ofSeconds(5),
                Duration.ofMinutes(5));
    }
}
