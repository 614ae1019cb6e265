package org.carobdoor.node.claims;

/** What is recorded for an idempotency key. */
public sealed interface KeyOutcome {

    /** The call was answered with {@code status}; {@code holder} may still keep the answer. */
    record Done(int status, String holder) implements KeyOutcome {}

    /** The key is claimed and no outcome is recorded: the call may have run or may still run. */
    record Open(String holder) implements KeyOutcome {}

    /**
     * No claim holds the key. It is no proof that the call did not run: the key may be forgotten,
     * and a claim may be under way.
     */
    record NotRecorded() implements KeyOutcome {}
}
