package org.carobdoor;

import java.time.Instant;
import java.util.Optional;

/**
 * The port to the platform's key-value service.
 *
 * <p>All calls block until {@code deadline} at the latest. The service is shared and slow compared
 * with local state. Each call counts against its rate limit; a watch counts as one call.
 *
 * <pre>{@code
 * var read = store.get("catalogue/entries/bids", deadline).orElseThrow();
 * var write = store.compareAndSet("catalogue/entries/bids", read.get().version(), text, deadline);
 * }</pre>
 */
public interface KeyValueStore {

    /** Reads one key. */
    Result<Optional<VersionedValue>> get(String key, Instant deadline);

    /**
     * Writes {@code value} if the version of {@code key} equals {@code expectedVersion}; 0 means
     * that the key must not exist.
     *
     * <p>A failure of kind {@link FailureKind#CONFLICT} means that nothing was written. A failure
     * of kind {@link FailureKind#UNKNOWN} means that the value may have been written or may still
     * be written: read the key back to find out.
     *
     * @return the new version of the key
     */
    Result<Long> compareAndSet(String key, long expectedVersion, Bytes value, Instant deadline);

    /**
     * Deletes {@code key} if its version equals {@code expectedVersion}. Fails in the same ways as
     * {@link #compareAndSet}.
     */
    Result<Long> delete(String key, long expectedVersion, Instant deadline);

    /** Reads all values whose key starts with {@code prefix}. */
    Result<ValueList> list(String prefix, Instant deadline);

    /**
     * Waits until a key that starts with {@code prefix} has changed after {@code afterRevision},
     * and returns the current values of the changed keys. Returns an empty list at the deadline.
     */
    Result<ValueList> watch(String prefix, long afterRevision, Instant deadline);

    /**
     * Acquires the lease {@code name}, or renews it if {@code holder} already holds it.
     *
     * @param holder a token unique to the caller
     * @param until when the lease expires
     * @return the lease; a failure of kind {@link FailureKind#CONFLICT} if another holder has the
     *     lease
     */
    Result<Lease> acquireLease(String name, String holder, Instant until, Instant deadline);
}
