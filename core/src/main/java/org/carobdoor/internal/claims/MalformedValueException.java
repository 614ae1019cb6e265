package org.carobdoor.internal.claims;

/** Ends the decoding of a stored value that does not have the expected form. */
final class MalformedValueException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedValueException(String message) {
        super(message);
    }
}
