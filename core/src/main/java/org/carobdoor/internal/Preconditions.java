package org.carobdoor.internal;

import org.jspecify.annotations.Nullable;

/** Checks arguments and invariants. */
public final class Preconditions {
    private Preconditions() {}

    /**
     * Returns {@code value} if it has at least one non-whitespace character.
     *
     * @throws IllegalArgumentException if {@code value} is blank
     */
    public static String checkNotBlank(String value, String name) {
        if (value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be blank");
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
     * Checks an internal invariant.
     *
     * @throws InvariantViolation if the condition is false
     */
    public static void checkInvariant(boolean condition, String message) {
        if (!condition) {
            throw new InvariantViolation(message);
        }
    }

    /**
     * Returns {@code value}, which must not be null as an internal invariant.
     *
     * @throws InvariantViolation if {@code value} is null
     */
    public static <T> T checkPresent(@Nullable T value, String message) {
        if (value == null) {
            throw new InvariantViolation(message);
        }
        return value;
    }
}
