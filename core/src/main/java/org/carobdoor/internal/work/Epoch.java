package org.carobdoor.internal.work;

/**
 * Reads and advances epochs. An epoch consists of a term in the upper bits and a step in the lower
 * 16 bits; a higher epoch supersedes a lower one.
 *
 * <p>Advancing the step needs the consent of every node that could own the request in the term. A
 * term ends with a write-once decision that only one node can win.
 */
public final class Epoch {
    /** The first epoch of a new request. */
    public static final int FIRST = 1;

    private static final int STEP_BITS = 16;

    private Epoch() {}

    /** Returns the term of {@code epoch}, 0 for the first. */
    public static int term(int epoch) {
        return epoch >>> STEP_BITS;
    }

    /** Returns the next epoch of the same term. */
    static int nextStep(int epoch) {
        int next = epoch + 1;
        if (term(next) != term(epoch)) {
            throw new IllegalStateException("the step of an epoch exceeds 16 bits");
        }
        return next;
    }

    /** Returns the first epoch of the term after {@code term}. */
    static int startOfTermAfter(int term) {
        return (term + 1) << STEP_BITS;
    }
}
