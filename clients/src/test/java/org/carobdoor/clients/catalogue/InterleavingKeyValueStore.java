package org.carobdoor.clients.catalogue;

import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carobdoor.Bytes;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Lease;
import org.carobdoor.Result;
import org.carobdoor.ValueList;
import org.carobdoor.VersionedValue;

/** Runs another editor before or after random calls, to test races without threads. */
final class InterleavingKeyValueStore implements KeyValueStore {
    private final KeyValueStore store;
    private final RandomGenerator random;
    private final Runnable otherEditor;

    InterleavingKeyValueStore(KeyValueStore store, RandomGenerator random, Runnable other) {
        this.store = store;
        this.random = random;
        this.otherEditor = other;
    }

    @Override
    public Result<Optional<VersionedValue>> get(String key, Instant deadline) {
        maybeRunOtherEditor();
        return store.get(key, deadline);
    }

    @Override
    public Result<Long> compareAndSet(String key, long version, Bytes value, Instant deadline) {
        maybeRunOtherEditor();
        var written = store.compareAndSet(key, version, value, deadline);
        maybeRunOtherEditor();
        return written;
    }

    @Override
    public Result<Long> delete(String key, long expectedVersion, Instant deadline) {
        return store.delete(key, expectedVersion, deadline);
    }

    @Override
    public Result<ValueList> list(String prefix, Instant deadline) {
        return store.list(prefix, deadline);
    }

    @Override
    public Result<ValueList> watch(String prefix, long afterRevision, Instant deadline) {
        return store.watch(prefix, afterRevision, deadline);
    }

    @Override
    public Result<Lease> acquireLease(String name, String holder, Instant until, Instant deadline) {
        return store.acquireLease(name, holder, until, deadline);
    }

    private void maybeRunOtherEditor() {
        if (random.nextInt(6) == 0) {
            otherEditor.run();
        }
    }
}
