package org.carobdoor.internal.claims;

import org.carobdoor.Failure;

/** The result of an attempt to claim a call. */
public sealed interface ClaimVerdict {

    /**
     * The claim was granted to {@code token}; the call may be sent once, if {@link
     * Claimant#beginSend} allows it.
     */
    record Granted(Id128 token) implements ClaimVerdict {}

    /** Another request holds the claim and its outcome is not known. */
    record Held(String holder) implements ClaimVerdict {}

    /**
     * The call was answered with {@code status}; the node {@code holder} may still store the
     * answer.
     */
    record Done(int status, String holder) implements ClaimVerdict {}

    /** The claim was not granted; nothing was or will be sent for this request. */
    record Refused(Failure failure) implements ClaimVerdict {}

    /** The key is too old to tell whether an earlier call with it has run. */
    record TooOld() implements ClaimVerdict {}

    /** The key is invalid. */
    record BadKey(String detail) implements ClaimVerdict {}
}
