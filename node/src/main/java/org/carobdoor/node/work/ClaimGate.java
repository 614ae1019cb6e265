package org.carobdoor.node.work;

import java.time.Instant;
import org.carobdoor.RunState;

/** Takes the claim of a call that must not run twice, just before it is sent. */
public interface ClaimGate {

    /** What became of a claim. */
    enum Outcome {
        /** This node, and no other, may send the call. */
        GRANTED,
        /** Another node holds the claim and may have sent the call. */
        HELD_ELSEWHERE,
        /** The claim could not be taken, and the call must not be sent; it can be tried again. */
        UNAVAILABLE
    }

    /** Takes the claim of the call; blocks until {@code deadline} at the latest. */
    Outcome claim(String requestId, WorkSpec spec, Instant deadline);

    /** Records the outcome of a call whose claim was granted. */
    void finished(String requestId, WorkSpec spec, RunState runState);
}
