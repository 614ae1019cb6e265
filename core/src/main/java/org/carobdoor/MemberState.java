package org.carobdoor;

/** The assumed state of a node. */
public enum MemberState {
    /** The node answers probes. */
    ALIVE,
    /** The node did not answer a probe and has not yet refuted the suspicion. */
    SUSPECT,
    /** The node has announced that it is leaving and accepts no new work. */
    LEAVING,
    /** The node did not refute the suspicion in time, or it has left. */
    DEAD
}
