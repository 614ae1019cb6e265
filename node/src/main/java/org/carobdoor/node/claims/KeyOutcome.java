package org.carobdoor.node.claims;

/** The outcome recorded for an idempotency key. */
public sealed interface KeyOutcome {

    /** The call was answered with {@code status}; {@code holder} may still store the answer. */
    record Done(int status, String holder) implements KeyOutcome {}

    /** The key is claimed and no outcome is recorded: the call may have run or may still run. */
    record Open(String holder) implements KeyOutcome {}

    /**
     * No claim is recorded for the key. This does not prove that the call did not run: the record
     * may have expired, or a claim may be in progress.
     */
    record NotRecorded() implements KeyOutcome {}
}
