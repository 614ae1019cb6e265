package org.carobdoor.internal.claims;

import java.time.Duration;

/**
 * Settings for the owner of a claim log.
 *
 * @param writeInterval the minimum time between two writes of one log
 * @param updateDelay the maximum delay of an outcome, so that it can share a write with a claim
 * @param sealBytes the size of the head's records above which they are sealed into a segment
 * @param operationTimeout the timeout of one operation on the key-value service
 * @param maxBackOff the maximum delay after failures and conflicts
 */
public record ClaimLogSettings(
        Duration writeInterval,
        Duration updateDelay,
        int sealBytes,
        Duration operationTimeout,
        Duration maxBackOff) {
    /**
     * The default settings. At 80 ms between writes, 16 logs make at most 200 writes per second;
     * the key-value service handles several hundred.
     */
    public static final ClaimLogSettings DEFAULT =
            new ClaimLogSettings(
                    Duration.ofMillis(80),
                    Duration.ofMillis(500),
                    32 * 1024,
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1));
}
