package org.carobdoor.node.claims;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.internal.claims.ClaimKey;
import org.carobdoor.internal.claims.Id128;

/** Stores recent answers by key up to a maximum size in bytes, evicting the oldest first. */
final class AnswerStore {
    /** Estimated size of the key, times, map entry and object headers of a stored answer. */
    private static final int ENTRY_OVERHEAD_BYTES = 200;

    private record Entry(StoredAnswer answer, Instant keptUntil) {
        int bytes() {
            return ENTRY_OVERHEAD_BYTES + answer.contentType().length() + answer.body().size();
        }
    }

    private static final class Shard {
        final ReentrantLock lock = new ReentrantLock();
        final Map<Id128, Entry> entries = new LinkedHashMap<>();
        long bytes;
    }

    private final InstantSource clock;
    private final long maxShardBytes;
    private final ClaimListener listener;
    private final List<Shard> shards = new ArrayList<>();

    AnswerStore(InstantSource clock, long bytes, ClaimListener listener) {
        this.clock = clock;
        this.maxShardBytes = bytes / ClaimKey.LOGS;
        this.listener = listener;
        for (int i = 0; i < ClaimKey.LOGS; i++) {
            shards.add(new Shard());
        }
    }

    /** Stores {@code answer} unless it exceeds the capacity of a shard. */
    void put(Id128 key, StoredAnswer answer, Instant keptUntil) {
        Entry entry = new Entry(answer, keptUntil);
        if (entry.bytes() > maxShardBytes) {
            listener.onAnswerEvicted();
            return;
        }
        Shard shard = shard(key);
        shard.lock.lock();
        try {
            Entry before = shard.entries.remove(key);
            shard.bytes += entry.bytes() - (before == null ? 0 : before.bytes());
            shard.entries.put(key, entry);
            evict(shard);
        } finally {
            shard.lock.unlock();
        }
    }

    Optional<StoredAnswer> get(Id128 key) {
        Shard shard = shard(key);
        shard.lock.lock();
        try {
            Entry entry = shard.entries.get(key);
            return entry != null && entry.keptUntil().isAfter(clock.instant())
                    ? Optional.of(entry.answer())
                    : Optional.empty();
        } finally {
            shard.lock.unlock();
        }
    }

    /**
     * Removes expired answers starting with the oldest, then the oldest ones until the rest fit.
     */
    private void evict(Shard shard) {
        Instant now = clock.instant();
        Iterator<Entry> oldest = shard.entries.values().iterator();
        while (oldest.hasNext()) {
            Entry entry = oldest.next();
            boolean expired = !entry.keptUntil().isAfter(now);
            if (!expired && shard.bytes <= maxShardBytes) {
                return;
            }
            if (!expired) {
                listener.onAnswerEvicted();
            }
            shard.bytes -= entry.bytes();
            oldest.remove();
        }
    }

    private Shard shard(Id128 key) {
        return shards.get(ClaimKey.log(key));
    }
}
