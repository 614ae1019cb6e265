package org.carobdoor.internal.membership;

import java.time.Duration;

/**
 * Timing settings of the membership protocol.
 *
 * @param probeInterval the time between two probes by this node
 * @param ackTimeout the time after which a direct probe is followed by indirect ones; longer than
 *     the longest round trip between regions
 * @param baseSuspicionTimeout the time to refute a suspicion in a group of up to ten nodes; it
 *     grows with the decimal logarithm of the size, as the time to spread a refutation does
 * @param deadProbeInterval the time between two probes of dead nodes, which let both sides of a
 *     healed partition find each other
 * @param seedInterval the time between two messages to seeds that are not known to be live
 * @param syncInterval the time between two table exchanges while updates are still spreading
 * @param syncQuietPeriod a digest difference that remains after this time without a change is
 *     treated as a lost update
 * @param pauseTolerance a tick that is later than this is treated as a pause of this node
 * @param deadRetention the time after which a dead node is removed from the table
 */
public record MembershipSettings(
        Duration probeInterval,
        Duration ackTimeout,
        Duration baseSuspicionTimeout,
        Duration deadProbeInterval,
        Duration seedInterval,
        Duration syncInterval,
        Duration syncQuietPeriod,
        Duration pauseTolerance,
        Duration deadRetention) {

    /** The number of nodes that are asked to probe an unresponsive peer. */
    public static final int INDIRECT_PROBES = 3;

    /**
     * The number of direct probes before a suspect is declared dead. Without them, a group of 24
     * nodes that loses 5% of its datagrams declared a live node dead within 300 s.
     */
    public static final int CONFIRMATION_PROBES = 2;

    /** Returns the settings used in production. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                Duration.ofSeconds(1),
                Duration.ofMillis(300),
                Duration.ofMillis(1200),
                Duration.ofSeconds(2),
                Duration.ofSeconds(10),
                Duration.ofSeconds(5),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofHours(1));
    }

    /** Returns these settings with all times divided by {@code factor}, for tests. */
    public MembershipSettings faster(int factor) {
        return new MembershipSettings(
                probeInterval.dividedBy(factor),
                ackTimeout.dividedBy(factor),
                baseSuspicionTimeout.dividedBy(factor),
                deadProbeInterval.dividedBy(factor),
                seedInterval.dividedBy(factor),
                syncInterval.dividedBy(factor),
                syncQuietPeriod.dividedBy(factor),
                pauseTolerance.dividedBy(factor),
                deadRetention.dividedBy(factor));
    }

    /** Returns the time to refute a suspicion in a group of {@code size} nodes. */
    public Duration suspicionTimeout(int size) {
        double factor = Math.max(1, Math.log10(Math.max(1, size)));
        return Duration.ofNanos((long) (baseSuspicionTimeout.toNanos() * factor));
    }
}
