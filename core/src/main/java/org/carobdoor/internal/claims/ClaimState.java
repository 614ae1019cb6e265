package org.carobdoor.internal.claims;

/** The state of a claim record. The order of the constants is part of the stored format. */
public enum ClaimState {
    /** The token may send the call, or may have sent it. */
    CLAIMED,
    /** The call was answered. */
    DONE,
    /** The token gave up before it sent anything, so the key may be claimed again. */
    RELEASED
}
