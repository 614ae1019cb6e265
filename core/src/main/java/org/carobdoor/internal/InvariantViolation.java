package org.carobdoor.internal;

/**
 * Thrown when an internal invariant does not hold. It indicates a bug in the program, never invalid
 * input.
 */
public final class InvariantViolation extends AssertionError {
    private static final long serialVersionUID = 1L;

    /** Creates a violation with a message that names the failed invariant. */
    public InvariantViolation(String message) {
        super(message);
    }
}
