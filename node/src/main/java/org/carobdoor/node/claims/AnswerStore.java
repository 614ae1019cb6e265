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

/** Keeps recent answers by key, up to a number of bytes; the oldest ones go first. */
final class AnswerStore {
    /** Key, times, map entry and object headers of a stored answer, estimated. */
    private static final int OVERHEAD_BYTES = 200;

    private record Entry(StoredAnswer answer, Instant keptUntil) {
        int bytes() {
            return OVERHEAD_BYTES + answer.contentType().length() + answer.body().size();
        }
    }

    private static final class Shard {
        final ReentrantLock lock = new ReentrantLock();
        final Map<Id128, Entry> entries = new LinkedHashMap<>();
        long bytes;
    }

    private final InstantSource clock;
    private final long shardBytes;
    private final ClaimListener listener;
    private final List<Shard> shards = new ArrayList<>();

    AnswerStore(InstantSource clock, long bytes, ClaimListener listener) {
        this.clock = clock;
        this.shardBytes = bytes / ClaimKey.LOGS;
        this.listener = listener;
        for (int i = 0; i < ClaimKey.LOGS; i++) {
            shards.add(new Shard());
        }
    }

    /** Keeps {@code answer}, unless it is too large for its share of the memory. */
    void put(Id128 key, StoredAnswer answer, Instant keptUntil) {
        Entry entry = new Entry(answer, keptUntil);
        if (entry.bytes() > shardBytes) {
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

    /** Removes lapsed answers from the old end, then the oldest ones until the rest fits. */
    private void evict(Shard shard) {
        Instant now = clock.instant();
        Iterator<Entry> oldest = shard.entries.values().iterator();
        while (oldest.hasNext()) {
            Entry entry = oldest.next();
            boolean lapsed = !entry.keptUntil().isAfter(now);
            if (!lapsed && shard.bytes <= shardBytes) {
                return;
            }
            if (!lapsed) {
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
