package org.carobdoor.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.carobdoor.EndpointId;

/** The caches of some of the endpoints, with an index by hash. Thread-safe. */
final class PrefixShard {

    /** The blocks of one endpoint, the least recently used one first. */
    private static final class Cache {
        final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
        long nextSequence = -1;
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final int capacity;
    private final Map<EndpointId, Cache> caches = new HashMap<>();
    private final Map<Long, Set<EndpointId>> holders = new HashMap<>();

    PrefixShard(int capacity) {
        this.capacity = capacity;
    }

    void match(PrefixHashes prefix, Map<EndpointId, Integer> out) {
        lock.lock();
        try {
            List<EndpointId> left = new ArrayList<>(holders.getOrDefault(prefix.at(0), Set.of()));
            for (int i = 0; i < prefix.size() && !left.isEmpty(); i++) {
                Set<EndpointId> having = holders.getOrDefault(prefix.at(i), Set.of());
                left.removeIf(id -> !having.contains(id));
                for (EndpointId id : left) {
                    out.put(id, i + 1);
                }
            }
        } finally {
            lock.unlock();
        }
    }

    void store(EndpointId id, PrefixHashes prefix) {
        lock.lock();
        try {
            Cache cache = caches.computeIfAbsent(id, k -> new Cache());
            // Deepest first, so that the shared start of prompts is evicted last.
            for (int i = prefix.size() - 1; i >= 0; i--) {
                put(id, cache, prefix.at(i));
            }
            trim(id, cache, capacity);
        } finally {
            lock.unlock();
        }
    }

    void apply(EndpointId id, List<CacheChange> changes) {
        lock.lock();
        try {
            Cache cache = caches.computeIfAbsent(id, k -> new Cache());
            for (CacheChange change : changes) {
                if (change.sequence() < cache.nextSequence) {
                    continue;
                }
                if (cache.nextSequence >= 0 && change.sequence() > cache.nextSequence) {
                    // Engines evict the least recently used blocks, so evictions lost in the gap
                    // hit the older half first.
                    trim(id, cache, cache.blocks.size() / 2);
                }
                cache.nextSequence = change.sequence() + 1;
                if (change.kind() == CacheChange.Kind.STORED) {
                    put(id, cache, change.hash());
                } else {
                    remove(id, cache, change.hash());
                }
            }
            trim(id, cache, capacity);
        } finally {
            lock.unlock();
        }
    }

    void forget(EndpointId id) {
        lock.lock();
        try {
            Cache cache = caches.remove(id);
            if (cache != null) {
                cache.blocks.keySet().forEach(hash -> unindex(id, hash));
            }
        } finally {
            lock.unlock();
        }
    }

    private void put(EndpointId id, Cache cache, long hash) {
        if (cache.blocks.put(hash, true) == null) {
            holders.computeIfAbsent(hash, h -> new HashSet<>(2)).add(id);
        }
    }

    private void remove(EndpointId id, Cache cache, long hash) {
        if (cache.blocks.remove(hash) != null) {
            unindex(id, hash);
        }
    }

    private void trim(EndpointId id, Cache cache, int size) {
        var oldest = cache.blocks.keySet().iterator();
        while (cache.blocks.size() > size) {
            long hash = oldest.next();
            oldest.remove();
            unindex(id, hash);
        }
    }

    private void unindex(EndpointId id, long hash) {
        Set<EndpointId> set = holders.get(hash);
        if (set != null && set.remove(id) && set.isEmpty()) {
            holders.remove(hash);
        }
    }
}
