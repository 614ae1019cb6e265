package org.carobdoor.node.service;

import java.util.Optional;
import org.carobdoor.Failure;
import org.carobdoor.node.claims.StoredAnswer;

/** The outcome of a call that must run at most once. */
public sealed interface AtMostOnceOutcome {

    /** The call was attempted for this request; its outcome may be a failure. */
    record Called(CallOutcome outcome) implements AtMostOnceOutcome {}

    /**
     * An earlier request with the same key was run.
     *
     * @param status the HTTP status of its answer
     * @param answer its answer, if it is still stored
     */
    record Replayed(int status, Optional<StoredAnswer> answer) implements AtMostOnceOutcome {}

    /** An earlier request with the same key may have run. */
    record KeyInUse() implements AtMostOnceOutcome {}

    /** The key is older than the records of keys, so an earlier request with it may have run. */
    record KeyTooOld() implements AtMostOnceOutcome {}

    /** The key is invalid. */
    record InvalidKey(String detail) implements AtMostOnceOutcome {}

    /** The key could not be claimed; the call was not run. */
    record ClaimFailed(Failure failure) implements AtMostOnceOutcome {}
}
