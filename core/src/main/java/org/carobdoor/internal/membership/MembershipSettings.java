package org.carobdoor.internal.membership;

import java.time.Duration;

/**
 * Times of the membership protocol.
 *
 * @param probeInterval between two probes of this node
 * @param ackTimeout after which a direct probe is followed by indirect ones; above the longest
 *     round trip between regions
 * @param suspicionBase the time to refute a suspicion in a group of up to ten nodes; it grows with
 *     the decimal logarithm of the size, as the time to spread a refutation does
 * @param deadProbeInterval between two probes of nodes believed dead, so that both sides of a
 *     healed cut find each other
 * @param seedInterval between two messages to seeds that are not known as live
 * @param syncInterval between two exchanges of the table while updates are still spreading
 * @param syncQuiet without a change for this long, a difference is taken for a lost update
 * @param pauseTolerance a tick that is later than this means that this node was paused
 * @param forgetAfter when a dead node is dropped from the table
 */
public record MembershipSettings(
        Duration probeInterval,
        Duration ackTimeout,
        Duration suspicionBase,
        Duration deadProbeInterval,
        Duration seedInterval,
        Duration syncInterval,
        Duration syncQuiet,
        Duration pauseTolerance,
        Duration forgetAfter) {

    /** The number of nodes asked to probe a peer that did not answer. */
    public static final int INDIRECT_PROBES = 3;

    /**
     * The number of direct probes before a suspect is declared dead. Without them, a group of 24
     * nodes that loses 5% of its datagrams declared a live node dead within 300 s.
     */
    public static final int FINAL_CHECKS = 2;

    /** Returns the settings for production. */
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
                suspicionBase.dividedBy(factor),
                deadProbeInterval.dividedBy(factor),
                seedInterval.dividedBy(factor),
                syncInterval.dividedBy(factor),
                syncQuiet.dividedBy(factor),
                pauseTolerance.dividedBy(factor),
                forgetAfter.dividedBy(factor));
    }

    /** Returns how long a suspicion lasts in a group of {@code size} nodes. */
    public Duration suspicion(int size) {
        double factor = Math.max(1, Math.log10(Math.max(1, size)));
        return Duration.ofNanos((long) (suspicionBase.toNanos() * factor));
    }
}
