package org.carobdoor.internal.claims;

/** Thrown when a stored value cannot be decoded. */
final class MalformedValueException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedValueException(String message) {
        super(message);
    }
}
