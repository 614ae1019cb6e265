package org.carobdoor;

/** What is believed about a node. */
public enum MemberState {
    /** It answers probes. */
    ALIVE,
    /** It did not answer and has not yet refuted the suspicion. */
    SUSPECT,
    /** It has announced that it is going and takes no new work. */
    LEAVING,
    /** It did not refute the suspicion in time, or has left. */
    DEAD
}
