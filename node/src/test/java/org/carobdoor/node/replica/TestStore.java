package org.carobdoor.node.replica;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Lease;
import org.carobdoor.Result;
import org.carobdoor.ValueList;
import org.carobdoor.VersionedValue;

/**
 * One node's connection to the shared store, which can be disconnected and whose watches can fail
 * silently.
 */
final class TestStore implements KeyValueStore {
    /** Faults of watches. */
    enum WatchFault {
        NONE,
        /** Calls never return. */
        HANGS,
        /** Calls return without the changes. */
        EMPTY
    }

    private final KeyValueStore store;
    private final BooleanSupplier disconnected;
    volatile WatchFault watchFault = WatchFault.NONE;

    TestStore(KeyValueStore store, BooleanSupplier cut) {
        this.store = store;
        this.disconnected = cut;
    }

    @Override
    public Result<Optional<VersionedValue>> get(String key, Instant deadline) {
        return disconnected.getAsBoolean() ? disconnectedFailure() : store.get(key, deadline);
    }

    @Override
    public Result<ValueList> list(String prefix, Instant deadline) {
        return disconnected.getAsBoolean() ? disconnectedFailure() : store.list(prefix, deadline);
    }

    @Override
    public Result<ValueList> watch(String prefix, long after, Instant deadline) {
        if (disconnected.getAsBoolean()) {
            return disconnectedFailure();
        }
        Result<ValueList> r = store.watch(prefix, after, deadline);
        if (disconnected.getAsBoolean()) {
            return disconnectedFailure();
        }
        return switch (watchFault) {
            case NONE -> r;
            case EMPTY -> Result.ok(new ValueList(after, List.of()));
            case HANGS -> {
                while (!Thread.currentThread().isInterrupted()) {
                    LockSupport.parkNanos(1_000_000_000);
                }
                yield disconnectedFailure();
            }
        };
    }

    @Override
    public Result<Long> compareAndSet(String key, long expected, Bytes value, Instant deadline) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Result<Long> delete(String key, long expected, Instant deadline) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Result<Lease> acquireLease(String name, String holder, Instant until, Instant end) {
        throw new UnsupportedOperationException();
    }

    private static <T> Result<T> disconnectedFailure() {
        return Result.err(FailureKind.NOT_DONE, "test", "store", "cut off");
    }
}
