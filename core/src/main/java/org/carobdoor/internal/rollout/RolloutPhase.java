package org.carobdoor.internal.rollout;

/** How far a roll-out has come. */
public enum RolloutPhase {
    /** The new version gets a share that the exposure limit allows. */
    TRYING,
    /** The new version was judged good and gets more than the exposure limit allows. */
    WIDENING,
    /** All new requests go to the new version; those at the old version end. */
    FINISHING,
    /** The old endpoints may stop. */
    COMPLETED,
    /** The new version gets no more requests. */
    ROLLED_BACK;

    /** Returns whether this phase is final. */
    public boolean isFinal() {
        return this == COMPLETED || this == ROLLED_BACK;
    }
}
