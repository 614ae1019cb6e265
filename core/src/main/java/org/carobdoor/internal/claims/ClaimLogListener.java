package org.carobdoor.internal.claims;

/** Receives the events of a claim log, for metrics. Called while the lock of the log is held. */
public interface ClaimLogListener {
    /** Ignores all events. */
    ClaimLogListener NONE = new ClaimLogListener() {};

    /** A head was written with {@code changes} changed records. */
    default void onWrite(int changes) {}

    /** Another owner wrote the head first. */
    default void onConflict() {}

    /** A read-back has shown whether a write of unknown outcome took effect. */
    default void onResolved(boolean written) {}

    /** The records of a head were sealed into a segment. */
    default void onSeal() {}

    /** {@code segments} expired segments were removed from the log. */
    default void onTrim(int segments) {}

    /** An operation on the key-value service failed. */
    default void onFailure() {}

    /** An update was received for a token that does not hold the claim. */
    default void onUnmatchedUpdate() {}
}
