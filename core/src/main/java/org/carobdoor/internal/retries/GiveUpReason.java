package org.carobdoor.internal.retries;

/** Why a failed attempt is not retried. */
public enum GiveUpReason {
    /** The request may have run and is not safe to run twice. */
    NOT_REPEATABLE,
    /** The endpoint rejected the request as invalid. */
    REJECTED,
    /** The deadline of the caller has passed. */
    DEADLINE,
    /** The request has used all its attempts. */
    ATTEMPTS,
    /** A feature of the request is suspected of crashing endpoints, or quarantined. */
    SUSPECT,
    /** The retry budget of the entry is exhausted. */
    BUDGET;

    /** Returns whether another attempt after a pause can succeed. */
    public boolean isTemporary() {
        return this == ATTEMPTS || this == BUDGET;
    }
}
