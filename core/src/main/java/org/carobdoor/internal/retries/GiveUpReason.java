package org.carobdoor.internal.retries;

/** Why a failed attempt is not followed by another. */
public enum GiveUpReason {
    /** The call may have run and must not run twice. */
    NOT_REPEATABLE,
    /** The endpoint rejected the request as invalid. */
    REJECTED,
    /** The caller no longer waits. */
    DEADLINE,
    /** The request has had its last attempt. */
    ATTEMPTS,
    /** The entry has used up its retries. */
    BUDGET;

    /** Returns whether an attempt after a pause can succeed. */
    public boolean isTemporary() {
        return this == ATTEMPTS || this == BUDGET;
    }
}
