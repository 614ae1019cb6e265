package org.carobdoor.internal;

/**
 * Thrown when state that must always hold does not. It is an error of the program, never of the
 * input.
 */
public final class InvariantViolation extends AssertionError {
    private static final long serialVersionUID = 1L;

    /** Creates a violation that says which invariant failed. */
    public InvariantViolation(String message) {
        super(message);
    }
}
