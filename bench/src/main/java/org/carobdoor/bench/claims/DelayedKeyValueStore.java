package org.carobdoor.bench.claims;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.carobdoor.Bytes;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Lease;
import org.carobdoor.Result;
import org.carobdoor.ValueList;
import org.carobdoor.VersionedValue;

/** Delays the operations of another store; half of the delay precedes the operation itself. */
final class DelayedKeyValueStore implements KeyValueStore {
    private final KeyValueStore store;
    private final Duration halfDelay;
    final AtomicLong reads = new AtomicLong();
    final AtomicLong writes = new AtomicLong();
    final AtomicLong bytesWritten = new AtomicLong();

    DelayedKeyValueStore(KeyValueStore store, Duration delay) {
        this.store = store;
        this.halfDelay = delay.dividedBy(2);
    }

    @Override
    public Result<Optional<VersionedValue>> get(String key, Instant deadline) {
        reads.incrementAndGet();
        return withDelay(() -> store.get(key, deadline));
    }

    @Override
    public Result<Long> compareAndSet(
            String key, long expectedVersion, Bytes value, Instant deadline) {
        writes.incrementAndGet();
        bytesWritten.addAndGet(value.size());
        return withDelay(() -> store.compareAndSet(key, expectedVersion, value, deadline));
    }

    @Override
    public Result<Long> delete(String key, long expectedVersion, Instant deadline) {
        writes.incrementAndGet();
        return withDelay(() -> store.delete(key, expectedVersion, deadline));
    }

    @Override
    public Result<ValueList> list(String prefix, Instant deadline) {
        return withDelay(() -> store.list(prefix, deadline));
    }

    @Override
    public Result<ValueList> watch(String prefix, long afterRevision, Instant deadline) {
        return store.watch(prefix, afterRevision, deadline);
    }

    @Override
    public Result<Lease> acquireLease(String name, String holder, Instant until, Instant deadline) {
        return withDelay(() -> store.acquireLease(name, holder, until, deadline));
    }

    private <T> T withDelay(Supplier<T> operation) {
        try {
            Thread.sleep(halfDelay);
            T result = operation.get();
            Thread.sleep(halfDelay);
            return result;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
