package org.carobdoor.internal.claims;

/** The state of a claim record. The order of the constants is part of the stored format. */
public enum ClaimState {
    /** The holder of the token may send the call, or may have sent it. */
    CLAIMED,
    /** The call has been answered. */
    DONE,
    /** The claimant released the claim before sending anything, so the key may be claimed again. */
    RELEASED
}
