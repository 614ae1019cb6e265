package org.carobdoor.internal.membership;

/**
 * What the failure detector believes of a node. Of two with the same incarnation, the later wins.
 */
public enum MemberStatus {
    /** It answers probes. */
    ALIVE,
    /** It did not answer a direct and several indirect probes. */
    SUSPECT,
    /** It did not refute the suspicion in time, or has left. */
    DEAD
}
