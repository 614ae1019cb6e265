package org.carobdoor.standins.platform;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.Bytes;
import org.carobdoor.ValueList;
import org.carobdoor.VersionedValue;

/**
 * A thread-safe, versioned key-value map with compare-and-swap, leases and watches.
 *
 * <p>The version of a key is not reset when the key is deleted, so that a version identifies a
 * single value. A watch does not report deletions.
 */
public final class KeyValueState {
    // A watch polls the clock at this interval, because a test may advance it.
    private static final long WATCH_POLL_MILLIS = 5;

    private static final HeldLease NEVER_HELD = new HeldLease("", 0, Instant.MIN);

    private final InstantSource clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeMap<String, VersionedValue> values = new TreeMap<>();
    private final Map<String, Long> lastVersions = new HashMap<>();
    private final Map<String, HeldLease> leases = new HashMap<>();
    private long revision;

    /** Creates an empty map whose leases expire by {@code clock}. */
    public KeyValueState(InstantSource clock) {
        this.clock = clock;
    }

    /**
     * The result of a write.
     *
     * @param applied whether the value was written or deleted
     * @param version the new version, or the current one if nothing was written; 0 if there is none
     * @param current the value after the call, if the key exists
     */
    public record WriteResult(boolean applied, long version, Optional<VersionedValue> current) {}

    private record HeldLease(String holder, long fencing, Instant expiresAt) {}

    /** Returns the value of a key. */
    public Optional<VersionedValue> get(String key) {
        lock.lock();
        try {
            return Optional.ofNullable(values.get(key));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Writes {@code value} if the key has {@code expectedVersion}; 0 means that it does not exist.
     */
    public WriteResult compareAndSet(String key, long expectedVersion, Bytes value) {
        lock.lock();
        try {
            if (currentVersion(key) != expectedVersion) {
                return notApplied(key);
            }
            var written = new VersionedValue(key, nextVersion(key), ++revision, value);
            values.put(key, written);
            changed.signalAll();
            return new WriteResult(true, written.version(), Optional.of(written));
        } finally {
            lock.unlock();
        }
    }

    /** Deletes the key if it has {@code expectedVersion}. */
    public WriteResult delete(String key, long expectedVersion) {
        lock.lock();
        try {
            if (expectedVersion == 0 || currentVersion(key) != expectedVersion) {
                return notApplied(key);
            }
            values.remove(key);
            revision++;
            return new WriteResult(true, nextVersion(key), Optional.empty());
        } finally {
            lock.unlock();
        }
    }

    /** Returns all values whose key starts with {@code prefix}. */
    public ValueList list(String prefix) {
        lock.lock();
        try {
            return valuesAfter(prefix, 0);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until a value whose key starts with {@code prefix} has a revision above {@code after},
     * or until {@code deadline}, and returns all such values.
     */
    public ValueList watch(String prefix, long after, Instant deadline)
            throws InterruptedException {
        lock.lock();
        try {
            while (true) {
                ValueList list = valuesAfter(prefix, after);
                if (!list.values().isEmpty() || !clock.instant().isBefore(deadline)) {
                    return list;
                }
                var unused = changed.await(WATCH_POLL_MILLIS, TimeUnit.MILLISECONDS);
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Acquires or renews a lease. A {@code ttl} of zero releases it.
     *
     * @return the fencing token, or empty if another holder has the lease
     */
    public Optional<Long> lease(String name, String holder, Duration ttl) {
        lock.lock();
        try {
            Instant now = clock.instant();
            HeldLease held = leases.getOrDefault(name, NEVER_HELD);
            boolean expired = !now.isBefore(held.expiresAt());
            if (!expired && !held.holder().equals(holder)) {
                return Optional.empty();
            }
            long fencing = held.fencing() + (expired ? 1 : 0);
            leases.put(name, new HeldLease(holder, fencing, now.plus(ttl)));
            return Optional.of(fencing);
        } finally {
            lock.unlock();
        }
    }

    /** Expires a lease at once, as if its holder had been paused until after the end. */
    public void expireLease(String name) {
        lock.lock();
        try {
            leases.computeIfPresent(
                    name, (n, held) -> new HeldLease(held.holder(), held.fencing(), Instant.MIN));
        } finally {
            lock.unlock();
        }
    }

    private ValueList valuesAfter(String prefix, long after) {
        List<VersionedValue> matches = new ArrayList<>();
        for (VersionedValue value : values.tailMap(prefix, true).values()) {
            if (!value.key().startsWith(prefix)) {
                break;
            }
            if (value.revision() > after) {
                matches.add(value);
            }
        }
        return new ValueList(revision, matches);
    }

    private long currentVersion(String key) {
        VersionedValue value = values.get(key);
        return value == null ? 0 : value.version();
    }

    private long nextVersion(String key) {
        return lastVersions.merge(key, 1L, Long::sum);
    }

    private WriteResult notApplied(String key) {
        return new WriteResult(false, currentVersion(key), Optional.ofNullable(values.get(key)));
    }
}
