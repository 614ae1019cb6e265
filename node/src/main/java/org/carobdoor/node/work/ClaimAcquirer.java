package org.carobdoor.node.work;

import java.time.Instant;
import org.carobdoor.RunState;

/** Acquires the claim of a call that must run at most once, immediately before it is sent. */
public interface ClaimAcquirer {

    /** The result of trying to acquire a claim. */
    enum Outcome {
        /** Only this node may send the call. */
        GRANTED,
        /** Another node holds the claim and may have sent the call. */
        HELD_ELSEWHERE,
        /**
         * The claim could not be acquired, so the call must not be sent. The claim can be retried.
         */
        UNAVAILABLE
    }

    /** Acquires the claim of the call, blocking until {@code deadline} at the latest. */
    Outcome claim(String requestId, WorkSpec spec, Instant deadline);

    /** Records the outcome of a call whose claim was granted. */
    void finished(String requestId, WorkSpec spec, RunState runState);
}
