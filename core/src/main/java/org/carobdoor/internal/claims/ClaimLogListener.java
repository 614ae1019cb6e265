package org.carobdoor.internal.claims;

/** Is told what a claim log does, for counters. Called under the lock of the log. */
public interface ClaimLogListener {
    /** Ignores everything. */
    ClaimLogListener NONE = new ClaimLogListener() {};

    /** A head was written with {@code changes} changed records. */
    default void onWrite(int changes) {}

    /** Another owner wrote the head first. */
    default void onConflict() {}

    /** The outcome of a write was unknown; {@code written} is what the read-back showed. */
    default void onResolved(boolean written) {}

    /** The records of a head were sealed. */
    default void onSeal() {}

    /** {@code segments} segments left the log. */
    default void onTrim(int segments) {}

    /** An operation on the key-value service failed. */
    default void onFailure() {}

    /** An update named a token that does not hold the claim. */
    default void onStrayUpdate() {}
}
