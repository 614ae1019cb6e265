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

/** Answers like another store after a fixed time, half of it before the operation takes effect. */
final class SlowStore implements KeyValueStore {
    private final KeyValueStore store;
    private final Duration half;
    final AtomicLong reads = new AtomicLong();
    final AtomicLong writes = new AtomicLong();
    final AtomicLong bytesWritten = new AtomicLong();

    SlowStore(KeyValueStore store, Duration answerTime) {
        this.store = store;
        this.half = answerTime.dividedBy(2);
    }

    @Override
    public Result<Optional<VersionedValue>> get(String key, Instant deadline) {
        reads.incrementAndGet();
        return slowly(() -> store.get(key, deadline));
    }

    @Override
    public Result<Long> compareAndSet(
            String key, long expectedVersion, Bytes value, Instant deadline) {
        writes.incrementAndGet();
        bytesWritten.addAndGet(value.size());
        return slowly(() -> store.compareAndSet(key, expectedVersion, value, deadline));
    }

    @Override
    public Result<Long> delete(String key, long expectedVersion, Instant deadline) {
        writes.incrementAndGet();
        return slowly(() -> store.delete(key, expectedVersion, deadline));
    }

    @Override
    public Result<ValueList> list(String prefix, Instant deadline) {
        return slowly(() -> store.list(prefix, deadline));
    }

    @Override
    public Result<ValueList> watch(String prefix, long afterRevision, Instant deadline) {
        return store.watch(prefix, afterRevision, deadline);
    }

    @Override
    public Result<Lease> acquireLease(String name, String holder, Instant until, Instant deadline) {
        return slowly(() -> store.acquireLease(name, holder, until, deadline));
    }

    private <T> T slowly(Supplier<T> operation) {
        try {
            Thread.sleep(half);
            T result = operation.get();
            Thread.sleep(half);
            return result;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
