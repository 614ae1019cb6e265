package org.carobdoor;

import java.util.function.Function;

/**
 * The outcome of an operation that can fail: a value or a {@link Failure}.
 *
 * <pre>{@code
 * switch (store.get("catalogue/entries/bids", deadline)) {
 *     case Result.Ok<Optional<VersionedValue>>(var value) -> use(value);
 *     case Result.Err<Optional<VersionedValue>>(var failure) -> report(failure);
 * }
 * }</pre>
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

    /** A successful outcome. */
    record Ok<T>(T value) implements Result<T> {}

    /** A failed outcome. */
    record Err<T>(Failure failure) implements Result<T> {}

    /** Returns a successful outcome that holds {@code value}. */
    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    /** Returns a failed outcome. */
    static <T> Result<T> err(Failure failure) {
        return new Err<>(failure);
    }

    /** Returns a failed outcome built from the parts of a {@link Failure}. */
    static <T> Result<T> err(FailureKind kind, String step, String peer, String detail) {
        return new Err<>(new Failure(kind, step, peer, detail));
    }

    /** Applies {@code f} to the value of a successful outcome and returns a failure unchanged. */
    default <U> Result<U> map(Function<? super T, ? extends U> f) {
        return switch (this) {
            case Ok<T>(var value) -> new Ok<>(f.apply(value));
            case Err<T>(var failure) -> new Err<>(failure);
        };
    }

    /**
     * Applies {@code f}, which can itself fail, to the value of a successful outcome and returns a
     * failure unchanged.
     */
    default <U> Result<U> flatMap(Function<? super T, Result<U>> f) {
        return switch (this) {
            case Ok<T>(var value) -> f.apply(value);
            case Err<T>(var failure) -> new Err<>(failure);
        };
    }

    /** Returns whether the outcome is a success. */
    default boolean isOk() {
        return this instanceof Ok<T>;
    }

    /**
     * Returns the value of a successful outcome.
     *
     * @throws IllegalStateException if the outcome is a failure
     */
    default T orElseThrow() {
        return switch (this) {
            case Ok<T>(var value) -> value;
            case Err<T>(var failure) -> throw new IllegalStateException(failure.toString());
        };
    }
}
