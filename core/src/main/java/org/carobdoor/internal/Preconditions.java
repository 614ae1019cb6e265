package org.carobdoor.internal;

import org.jspecify.annotations.Nullable;

/** Checks arguments and invariants. */
public final class Preconditions {
    private Preconditions() {}

    /**
     * Returns {@code value} if it has at least one character that is not white space.
     *
     * @throws IllegalArgumentException if it has none
     */
    public static String checkNotBlank(String value, String what) {
        if (value.isBlank()) {
            throw new IllegalArgumentException(what + " must not be blank");
        }
        return value;
    }

    /**
     * Checks a condition on an argument.
     *
     * @throws IllegalArgumentException if the condition is false
     */
    public static void checkArgument(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /**
     * Checks an invariant of the program.
     *
     * @throws InvariantViolation if the condition is false
     */
    public static void checkInvariant(boolean condition, String message) {
        if (!condition) {
            throw new InvariantViolation(message);
        }
    }

    /**
     * Returns {@code value} if it is present, which is an invariant of the program.
     *
     * @throws InvariantViolation if it is null
     */
    public static <T> T checkPresent(@Nullable T value, String message) {
        if (value == null) {
            throw new InvariantViolation(message);
        }
        return value;
    }
}
