package org.carobdoor.node.claims;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carobdoor.Bytes;
import org.carobdoor.FailureKind;
import org.carobdoor.KeyValueStore;
import org.carobdoor.Lease;
import org.carobdoor.Result;
import org.carobdoor.ValueList;
import org.carobdoor.VersionedValue;

/**
 * An in-memory key-value service that can be unavailable or lose the response to its next write.
 */
final class TestStore implements KeyValueStore {
    private final Map<String, VersionedValue> values = new HashMap<>();
    private boolean down;
    private boolean loseNextAnswer;

    synchronized void setDown(boolean down) {
        this.down = down;
    }

    synchronized void loseNextAnswer() {
        loseNextAnswer = true;
    }

    @Override
    public synchronized Result<Optional<VersionedValue>> get(String key, Instant deadline) {
        return down ? unknown() : Result.ok(Optional.ofNullable(values.get(key)));
    }

    @Override
    public synchronized Result<Long> compareAndSet(
            String key, long expectedVersion, Bytes value, Instant deadline) {
        if (down) {
            return unknown();
        }
        VersionedValue before = values.get(key);
        long version = before == null ? 0 : before.version();
        if (version != expectedVersion) {
            return Result.err(FailureKind.CONFLICT, "cas", "test", "version " + version);
        }
        values.put(key, new VersionedValue(key, version + 1, 0, value));
        if (loseNextAnswer) {
            loseNextAnswer = false;
            return unknown();
        }
        return Result.ok(version + 1);
    }

    @Override
    public synchronized Result<Long> delete(String key, long expectedVersion, Instant deadline) {
        values.remove(key);
        return Result.ok(expectedVersion);
    }

    @Override
    public Result<ValueList> list(String prefix, Instant deadline) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Result<ValueList> watch(String prefix, long afterRevision, Instant deadline) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Result<Lease> acquireLease(String name, String holder, Instant until, Instant deadline) {
        throw new UnsupportedOperationException();
    }

    private static <T> Result<T> unknown() {
        return Result.err(FailureKind.UNKNOWN, "kv", "test", "no answer");
    }
}
