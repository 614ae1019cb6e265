package org.carobdoor.node.service;

import java.util.Optional;
import org.carobdoor.Failure;
import org.carobdoor.node.claims.StoredAnswer;

/** What became of a call that may not be repeated. */
public sealed interface OnceOutcome {

    /** The call ran for this request, or a send failed; see the outcome of the call. */
    record Called(CallOutcome outcome) implements OnceOutcome {}

    /**
     * An earlier request with the same key ran.
     *
     * @param status the HTTP status that it got
     * @param answer its answer, if it is still kept
     */
    record Repeated(int status, Optional<StoredAnswer> answer) implements OnceOutcome {}

    /** An earlier request with the same key may have run. */
    record Held() implements OnceOutcome {}

    /** The key is too old to tell whether an earlier request with it has run. */
    record TooOld() implements OnceOutcome {}

    /** The key is no valid key. */
    record BadKey(String detail) implements OnceOutcome {}

    /** The call could not be claimed and was not run. */
    record NotClaimed(Failure failure) implements OnceOutcome {}
}
