package org.carobdoor.internal.membership;

/**
 * The verdict of the failure detector on a node. Of two records with the same incarnation, the one
 * with the later constant supersedes the other.
 */
public enum MemberStatus {
    /** The node answers probes. */
    ALIVE,
    /** The node answered neither a direct nor the indirect probes. */
    SUSPECT,
    /** The node did not refute the suspicion in time, or has left. */
    DEAD
}
