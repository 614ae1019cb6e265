package org.carobdoor.internal.claims;

import java.time.Duration;

/**
 * Settings of a claim log's owner.
 *
 * @param writeInterval the least time between two writes of one log
 * @param updateDelay how long outcomes may wait for the write of a claim to share
 * @param sealBytes the size of the records in the head from which they are sealed
 * @param operationTimeout how long one operation on the key-value service may take
 * @param maxBackOff the longest wait after failures and conflicts
 */
public record ClaimLogSettings(
        Duration writeInterval,
        Duration updateDelay,
        int sealBytes,
        Duration operationTimeout,
        Duration maxBackOff) {
    /** 80 ms between writes: 16 logs then make at most 200 of the service's several hundred. */
    public static final ClaimLogSettings DEFAULT =
            new ClaimLogSettings(
                    Duration.ofMillis(80),
                    Duration.ofMillis(500),
                    32 * 1024,
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1));
}
