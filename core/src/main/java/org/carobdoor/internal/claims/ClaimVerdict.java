package org.carobdoor.internal.claims;

import org.carobdoor.Failure;

/** What came of the attempt to claim a call. */
public sealed interface ClaimVerdict {

    /** The holder of {@code token} may send the call once, after it has asked the claimant. */
    record Granted(Id128 token) implements ClaimVerdict {}

    /** Another request holds the key and its outcome is not known. */
    record Held(String holder) implements ClaimVerdict {}

    /** The call was answered with {@code status}; {@code holder} may still keep the answer. */
    record Done(int status, String holder) implements ClaimVerdict {}

    /** Nothing was sent, and nothing will be sent for this request. */
    record Refused(Failure failure) implements ClaimVerdict {}

    /** The key is too old to tell whether an earlier call with it has run. */
    record TooOld() implements ClaimVerdict {}

    /** The key is no valid key. */
    record BadKey(String detail) implements ClaimVerdict {}
}
