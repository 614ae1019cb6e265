package org.carobdoor.standins.fake;

import java.time.Duration;

/**
 * The faults that apply to messages between nodes.
 *
 * @param loss the probability that a message is lost
 * @param duplication the probability that a message arrives twice
 * @param minDelay the shortest delay
 * @param maxDelay the longest delay; messages with different delays can arrive out of order
 */
public record LinkFaults(double loss, double duplication, Duration minDelay, Duration maxDelay) {

    /** Returns no faults: every message is delivered once, without delay. */
    public static LinkFaults none() {
        return new LinkFaults(0, 0, Duration.ZERO, Duration.ZERO);
    }
}
