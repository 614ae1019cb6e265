package org.carobdoor.standins.fake;

import java.time.Duration;

/**
 * What happens to messages between nodes.
 *
 * @param loss the probability that a message is lost
 * @param repetition the probability that a message arrives twice
 * @param minDelay the shortest delay
 * @param maxDelay the longest delay; messages with different delays overtake each other
 */
public record LinkFaults(double loss, double repetition, Duration minDelay, Duration maxDelay) {

    /** Returns a network that delivers every message once and at once. */
    public static LinkFaults none() {
        return new LinkFaults(0, 0, Duration.ZERO, Duration.ZERO);
    }
}
